#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_REQUESTLOG_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_REQUESTLOG_H

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::operations {

/// Collects the log lines about one request, and the events of its targets
/// around the time of the request, from the logs of several instances.
class RequestLog {
public:
  explicit RequestLog(std::string RequestId)
      : RequestId_(std::move(RequestId)) {}

  /// Adds the relevant lines of one log.
  void addLines(std::string_view Text);

  /// Returns the lines about the request, ordered by time.
  std::vector<boost::json::object> requestLines() const;
  /// Returns the events that instances logged for the targets of the request
  /// while it ran and in the second before, ordered by time.
  std::vector<boost::json::object> targetEvents() const;

private:
  std::string RequestId_;
  std::vector<boost::json::object> RequestLines_;
  std::vector<boost::json::object> TargetEvents_;
};

/// Returns the value of a field as text; empty when the line lacks the field.
std::string fieldText(const boost::json::object &Line, std::string_view Name);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_REQUESTLOG_H
