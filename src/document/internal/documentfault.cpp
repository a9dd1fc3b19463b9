#include "document/types/documentfault.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>

namespace cranberryspool::document {

std::string_view faultKindName(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::DocumentTooLarge:
    return "document-too-large";
  case FaultKind::InvalidSyntax:
    return "invalid-syntax";
  case FaultKind::InvalidUtf8:
    return "invalid-utf-8";
  case FaultKind::NestedTooDeep:
    return "nested-too-deep";
  case FaultKind::DoubledKey:
    return "doubled-key";
  case FaultKind::UnknownKey:
    return "unknown-key";
  case FaultKind::MissingKey:
    return "missing-key";
  case FaultKind::WrongType:
    return "wrong-type";
  case FaultKind::InvalidName:
    return "invalid-name";
  case FaultKind::InvalidDuration:
    return "invalid-duration";
  case FaultKind::InvalidShare:
    return "invalid-share";
  case FaultKind::InvalidSize:
    return "invalid-size";
  case FaultKind::InvalidAddress:
    return "invalid-address";
  case FaultKind::InvalidMethod:
    return "invalid-method";
  case FaultKind::InvalidPath:
    return "invalid-path";
  case FaultKind::UnknownWord:
    return "unknown-word";
  case FaultKind::OutOfRange:
    return "out-of-range";
  case FaultKind::WrongCount:
    return "wrong-count";
  case FaultKind::DuplicateName:
    return "duplicate-name";
  case FaultKind::UnknownZone:
    return "unknown-zone";
  case FaultKind::OverlappingPaths:
    return "overlapping-paths";
  case FaultKind::HedgingNotIdempotent:
    return "hedging-not-idempotent";
  case FaultKind::InvalidDigest:
    return "invalid-digest";
  case FaultKind::DuplicateDigest:
    return "duplicate-digest";
  }
  return "";
}

std::string formatFault(const DocumentFault &Fault) {
  // Escapes control characters of the document, which could otherwise
  // manipulate the terminal.
  std::string Pointer = boost::json::serialize(
      boost::json::string_view(Fault.Pointer_.data(), Fault.Pointer_.size()));
  Pointer = Pointer.substr(1, Pointer.size() - 2);
  std::string Line = "line " + std::to_string(Fault.Line_) + ", column " +
                     std::to_string(Fault.Column_) + ": ";
  Line += Pointer.empty() ? "(whole document)" : Pointer;
  Line += ": ";
  Line += faultKindName(Fault.Kind_);
  Line += ": expected " + Fault.Expected_;
  if (!Fault.Found_.empty())
    Line += ", found " + Fault.Found_;
  return Line;
}

} // namespace cranberryspool::document
