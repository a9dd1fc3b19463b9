#ifndef CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
#define CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H

namespace cranberryspool {

inline constexpr char UsageText[] = R"(cranberryctl COMMAND [flags] [arguments]

Commands:
  check DOC       says whether an environment document is accepted, with all faults
  diff OLD NEW    says what a new document changes: zones, targets, calls, objectives
  try DOC         runs a document on a small fleet in this process, calls every kind
                  of request and says whether the document may be promoted
  status ADDR...  shows instances, asked at their operator ports (IP:port)
  explain ID FILE...
                  says from the logs of instances how a request ended and why
  burn ADDR...    reports service-level burn from the counters of these instances

Flags:
  --json          writes one JSON object for programs
  --timeout TIME  how long status and burn wait for an instance (default 2s)
  --file PATHS    burn reads saved status files too, separated by commas
  --document DOC  burn takes the objectives of this document
  --svg PATH      burn draws the burn rates into this file
  --network N     second number of the loopback addresses of try (default 80)
  --help          writes this text

Results go to standard output, errors to standard error.

Exit codes:
  0  accepted; may be promoted; no difference; no alarm
  1  the command line was not understood
  2  refused; must not be promoted; documents differ, also between instances; an objective is in alarm
  3  a file cannot be read, or does not hold what is needed
  4  an instance did not answer; a trial could not be held
)";

} // namespace cranberryspool

#endif // CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
