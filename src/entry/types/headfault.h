#ifndef CRANBERRYSPOOL_ENTRY_TYPES_HEADFAULT_H
#define CRANBERRYSPOOL_ENTRY_TYPES_HEADFAULT_H

namespace cranberryspool::entry {

/// Why the head of a request is not accepted.
enum class HeadFault {
  RequestLine,
  Method,
  RequestTarget,
  Version,
  LineEnding,
  FoldedField,
  FieldName,
  FieldValue,
  BothLengths,
  RepeatedLength,
  BadLength,
  TransferCoding,
  Host,
  Timeout,
  Key,
  Depth,
  Attempt,
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_HEADFAULT_H
