#ifndef CRANBERRYSPOOL_FRAMEWORK_LOG_LOGLINE_H
#define CRANBERRYSPOOL_FRAMEWORK_LOG_LOGLINE_H

#include "framework/log/logimportance.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryspool::framework {

/// Builds one line of a structured log: a JSON object whose first member is
/// `event`.
class LogLine {
public:
  LogLine(std::string_view Event, LogImportance Importance);

  LogLine &text(std::string_view Name, std::string_view Value);
  LogLine &number(std::string_view Name, std::int64_t Value);
  /// Appends the duration in milliseconds with three decimals.
  LogLine &millis(std::string_view Name, Duration Value);
  LogLine &flag(std::string_view Name, bool Value);
  /// Appends `null`, for a value that is not known.
  LogLine &unknown(std::string_view Name);

  /// Returns the members of the JSON object, without braces.
  const std::string &members() const { return Members_; }
  LogImportance importance() const { return Importance_; }

private:
  void appendName(std::string_view Name);

  std::string Members_;
  LogImportance Importance_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_LOG_LOGLINE_H
