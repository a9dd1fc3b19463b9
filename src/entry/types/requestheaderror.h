#ifndef CRANBERRYSPOOL_ENTRY_TYPES_REQUESTHEADERROR_H
#define CRANBERRYSPOOL_ENTRY_TYPES_REQUESTHEADERROR_H

namespace cranberryspool::entry {

/// The reason for which the head of a request is rejected.
enum class RequestHeadError {
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

#endif // CRANBERRYSPOOL_ENTRY_TYPES_REQUESTHEADERROR_H
