#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWEVIDENCE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWEVIDENCE_H

namespace cranberryspool::fleet {

/// What tells that the view may be of another history than the own store, the
/// strongest last.
enum class ViewEvidence {
  /// Another instance states a revision that does not fit the view.
  RevisionOfOther,
  /// Another instance has sent a record that does not fit the view, or has
  /// replaced its own view.
  RecordOfOther,
  /// The own store has returned a change that does not fit the view.
  OwnChange,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWEVIDENCE_H
