#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACEQUOTA_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACEQUOTA_H

namespace cranberryspool::document {

/// The requests that a workspace may send through all instances together.
struct WorkspaceQuota {
  /// The sustained rate; 0 means that there is no limit.
  double RequestsPerSecond_ = 0;
  /// The number of requests that may exceed the rate at once.
  double Burst_ = 0;

  bool isLimited() const { return RequestsPerSecond_ > 0; }

  friend bool operator==(const WorkspaceQuota &,
                         const WorkspaceQuota &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACEQUOTA_H
