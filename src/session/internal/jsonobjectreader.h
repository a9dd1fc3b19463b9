#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_JSONOBJECTREADER_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_JSONOBJECTREADER_H

#include "framework/time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::session {

/// Reads the members of a JSON object by type and remembers the last one that
/// was missing or had a different type.
class JsonObjectReader {
public:
  explicit JsonObjectReader(const boost::json::object &Object)
      : Object_(Object) {}

  bool has(std::string_view Name) const { return Object_.contains(Name); }
  std::optional<std::string> text(std::string_view Name);
  /// Reads an integer that is not negative.
  std::optional<std::uint64_t> number(std::string_view Name);
  std::optional<bool> boolean(std::string_view Name);
  /// Reads a duration with its unit, such as `5ms`.
  std::optional<framework::Duration> duration(std::string_view Name);

  /// Returns the name of the last member that could not be read, or an empty
  /// string.
  const std::string &invalidMember() const { return InvalidMember_; }

private:
  const boost::json::object &Object_;
  std::string InvalidMember_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_JSONOBJECTREADER_H
