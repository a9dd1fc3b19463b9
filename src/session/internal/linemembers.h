#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_LINEMEMBERS_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_LINEMEMBERS_H

#include "framework/time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::session {

/// The members of a line of a script, by their types. Remembers the member that
/// was missing or of another type.
class LineMembers {
public:
  explicit LineMembers(const boost::json::object &Line) : Line_(Line) {}

  bool has(std::string_view Name) const { return Line_.contains(Name); }
  std::optional<std::string> text(std::string_view Name);
  std::optional<std::uint64_t> number(std::string_view Name);
  std::optional<bool> flag(std::string_view Name);
  /// A duration with its unit, such as `5ms`.
  std::optional<framework::Duration> time(std::string_view Name);

  /// The member asked for last that could not be had.
  const std::string &concerned() const { return Concerned_; }

private:
  const boost::json::object &Line_;
  std::string Concerned_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_LINEMEMBERS_H
