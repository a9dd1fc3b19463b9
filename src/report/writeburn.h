#ifndef CRANBERRYSPOOL_REPORT_WRITEBURN_H
#define CRANBERRYSPOOL_REPORT_WRITEBURN_H

#include "report/types/burninput.h"
#include "report/types/burnreport.h"

#include <iosfwd>

namespace cranberryspool::report {

/// Writes a plain-text table with one row per objective: its burn rates and
/// alert.
void writeBurnText(const BurnReport &Report, std::ostream &Out);

/// Writes the report as a JSON object on one line.
void writeBurnJson(const BurnReport &Report, std::ostream &Out);

/// Writes an SVG image that plots the burn rate of each objective over time,
/// with the thresholds of the alert rules.
void writeBurnSvg(const BurnInput &Input, const BurnReport &Report,
                  std::ostream &Out);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_WRITEBURN_H
