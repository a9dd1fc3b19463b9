#ifndef CRANBERRYSPOOL_REPORT_WRITEBURN_H
#define CRANBERRYSPOOL_REPORT_WRITEBURN_H

#include "report/types/burninput.h"
#include "report/types/burnreport.h"

#include <iosfwd>

namespace cranberryspool::report {

/// Writes a table for people: a line an objective with its burn rates.
void writeBurnText(const BurnReport &Report, std::ostream &Out);

/// Writes one JSON object.
void writeBurnJson(const BurnReport &Report, std::ostream &Out);

/// Writes an SVG picture: for each objective the burn rate over time with the
/// thresholds of the alarms.
void writeBurnSvg(const BurnInput &Input, const BurnReport &Report,
                  std::ostream &Out);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_WRITEBURN_H
