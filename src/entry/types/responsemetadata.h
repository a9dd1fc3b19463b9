#ifndef CRANBERRYSPOOL_ENTRY_TYPES_RESPONSEMETADATA_H
#define CRANBERRYSPOOL_ENTRY_TYPES_RESPONSEMETADATA_H

#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// What a target reports in the header fields of its response.
struct ResponseMetadata {
  /// The id of the attempt that the target answers, as echoed by it.
  std::optional<std::string> AttemptId_;
  bool IsNotRun_ = false;
  /// The name that the target gives as its own.
  std::optional<std::string> TargetId_;
  std::optional<framework::Incarnation> StartId_;
  std::optional<routing::LoadReport> Report_;
  std::optional<std::uint64_t> WarmupMs_;
  /// The rate that the target accepts from all instances together.
  std::optional<routing::RequestRate> RequestLimit_;
  /// True when the field of the limit is present but cannot be read.
  bool IsRequestLimitInvalid_ = false;
  /// True when the signature field is present, which only a target sets.
  bool HasSignature_ = false;
  /// True when the body has a content coding, which no request asks for.
  bool IsEncoded_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_RESPONSEMETADATA_H
