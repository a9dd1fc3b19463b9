#ifndef CRANBERRYSPOOL_REPORT_BURNJSON_H
#define CRANBERRYSPOOL_REPORT_BURNJSON_H

#include "framework/result.h"
#include "report/types/burninput.h"
#include "report/types/burninputfailure.h"

#include <boost/json/object.hpp>

#include <string_view>

namespace cranberryspool::document {
struct EnvironmentDocument;
} // namespace cranberryspool::document

namespace cranberryspool::report {

/// Returns the objectives of all services of a document.
std::map<ObjectiveKey, document::Objective>
collectObjectives(const document::EnvironmentDocument &Document);

/// Builds the `burn` member of an instance's status.
boost::json::object burnInputToJson(const BurnInput &Input);

/// Parses the status of an instance, a JSON object, and reads its `burn`
/// member.
framework::Result<BurnInput, BurnInputFailure>
parseBurnInput(std::string_view StatusText);

/// Appends the buckets of `From` to those of `Into`. Where both have an
/// objective for the same key, that of `From` replaces the other.
void mergeBurnInput(BurnInput &Into, const BurnInput &From);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_BURNJSON_H
