#ifndef CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
#define CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H

namespace cranberryspool {

inline constexpr char UsageText[] = R"(cranberryctl COMMAND [flags] [arguments]

Commands:
  check DOC       reports whether an environment document is valid, with all errors
  diff OLD NEW    shows what a new document changes: zones, targets, calls, objectives
  try DOC         runs a document on a small fleet in this process, calls every kind
                  of request and reports whether the document may be promoted
  status ADDR...  shows the status of instances, given by operator address (IP:port)
  explain ID FILE...
                  shows from the logs of instances how a request ended and why
  burn ADDR...    reports error budget burn from the counters of these instances

Flags:
  --json          writes one JSON object
  --timeout TIME  how long status and burn wait for an instance (default 2s)
  --file PATHS    burn also reads saved status files, separated by commas
  --document DOC  burn uses the objectives of this document
  --svg PATH      burn writes a chart of the burn rates to this file
  --network N     second octet of the loopback addresses of try (default 80)
  --help          writes this text

Results go to standard output, errors to standard error.

Exit codes:
  0  accepted; may be promoted; no difference; no alert
  1  the command line is invalid
  2  rejected; must not be promoted; documents differ, also between instances; an objective has an alert
  3  a file cannot be read, or lacks required content
  4  an instance did not answer; a trial could not be run
)";

} // namespace cranberryspool

#endif // CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
