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

/// Returns the objectives of a document by what they cover.
std::map<ObjectiveKey, document::Objective>
collectObjectives(const document::EnvironmentDocument &Document);

/// Writes the `burn` member of an instance's status.
boost::json::object burnInputToJson(const BurnInput &Input);

/// Reads the `burn` member of an instance's status, given the whole status.
framework::Result<BurnInput, BurnInputFailure>
parseBurnInput(std::string_view StatusText);

/// Adds the counters of one instance to those of others. The objectives of the
/// later one replace earlier ones.
void mergeBurnInput(BurnInput &Into, const BurnInput &From);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_BURNJSON_H
