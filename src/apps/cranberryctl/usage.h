#ifndef CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
#define CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H

namespace cranberryspool {

inline constexpr char UsageText[] = R"(cranberryctl COMMAND [flags] [arguments]

Commands:
  check DOC       says whether an environment document is accepted, with all faults
  diff OLD NEW    says what a new document changes: zones, targets, calls, objectives

Flags:
  --json          writes one JSON object for programs
  --help          writes this text

Results go to standard output, errors to standard error.

Exit codes:
  0  accepted, no difference
  1  the command line was not understood
  2  refused, or the documents differ
  3  a file cannot be read, or does not hold what is needed
  4  an instance did not answer
)";

} // namespace cranberryspool

#endif // CRANBERRYSPOOL_APPS_CRANBERRYCTL_USAGE_H
