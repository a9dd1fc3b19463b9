#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_FAULTKIND_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_FAULTKIND_H

#include <string_view>

namespace cranberryspool::document {

/// The reasons for which a document is rejected.
enum class FaultKind {
  DocumentTooLarge,
  InvalidSyntax,
  InvalidUtf8,
  NestedTooDeep,
  DoubledKey,
  UnknownKey,
  MissingKey,
  WrongType,
  InvalidName,
  InvalidDuration,
  InvalidShare,
  InvalidSize,
  InvalidAddress,
  InvalidMethod,
  InvalidPath,
  UnknownWord,
  OutOfRange,
  WrongCount,
  DuplicateName,
  UnknownZone,
  OverlappingPaths,
  HedgingNotIdempotent,
  InvalidDigest,
  DuplicateDigest
};

/// Returns the name of a kind that tools print, such as `unknown-key`.
std::string_view faultKindName(FaultKind Kind);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_FAULTKIND_H
