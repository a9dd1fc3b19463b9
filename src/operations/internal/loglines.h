#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOGLINES_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOGLINES_H

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::operations {

/// The lines of logs that tell of one request, and of its targets around it.
class LogLines {
public:
  explicit LogLines(std::string Request) : Request_(std::move(Request)) {}

  /// Takes the lines of one log.
  void take(std::string_view Text);

  /// Returns the lines of the request in the order of their times.
  std::vector<boost::json::object> ofRequest() const;
  /// Returns what was believed of the request's targets while it ran and in
  /// the second before, in the order of the times.
  std::vector<boost::json::object> ofTargets() const;

private:
  std::string Request_;
  std::vector<boost::json::object> Own_;
  std::vector<boost::json::object> Beliefs_;
};

/// Returns a member as text, empty when there is none.
std::string fieldText(const boost::json::object &Line, std::string_view Name);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOGLINES_H
