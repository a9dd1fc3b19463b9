#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H

#include "fleet/recorddecoder.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// What this instance has read from the platform's store. Nothing in it goes
/// back: neither the document's version nor the life of a target.
class StoreView {
public:
  /// Which parts a step has changed.
  struct Changes {
    bool IsDocumentNew_ = false;
    bool AreTargetsNew_ = false;
    /// Entries that are not used, with the reason.
    std::vector<std::pair<std::string, std::string>> Rejected_;
  };

  StoreView(RecordDecoder Decode, framework::Duration LapseGrace)
      : Decode_(std::move(Decode)), RecoveryGrace_(LapseGrace) {}

  /// Takes all entries of the store: what is missing was deleted.
  Changes replaceAll(const std::vector<StoredRecord> &Records,
                     framework::Revision AsOf, framework::Instant Now);
  /// Takes all entries of the store as they were a while ago, at `AsOf`. They
  /// tell nothing of what the store holds now.
  Changes takeOld(const std::vector<StoredRecord> &Records,
                  framework::Revision AsOf, framework::Instant Now);
  /// Takes changes in the order of their revisions.
  Changes apply(const std::vector<StoredRecord> &Records,
                framework::Revision AsOf, framework::Instant Now);
  /// Gives up the entries that were lost while the store was away and have not
  /// come back.
  Changes advance(framework::Instant Now);

  bool hasList() const { return HasList_; }
  framework::Revision revision() const { return AsOf_; }
  /// Returns the time since the store last answered.
  std::optional<framework::Duration> age(framework::Instant Now) const;

  const PublishedConfiguration &configuration() const { return Configuration_; }
  /// Returns the zone of a target, or null when it is not known.
  const framework::ZoneName *zoneOf(const framework::TargetName &Target) const;

  /// Returns the targets, those in evacuated zones marked as draining.
  std::vector<PublishedTarget> targets() const;

private:
  struct TargetEntry {
    PublishedTarget Target_;
    /// Set when the entry was deleted while the store was not dependable.
    std::optional<framework::Instant> MissingSince_;
  };

  struct LastLife {
    framework::Incarnation Start_;
    std::uint64_t Sequence_ = 0;
  };

  /// The store counts as having been away when it was not heard for so long.
  static constexpr framework::Duration AwayAfter =
      std::chrono::milliseconds(1700);

  void replace(const std::vector<StoredRecord> &Records, framework::Instant Now,
               Changes &Out);
  void noteAnswered(framework::Revision AsOf, framework::Instant Now);
  void put(const StoredRecord &Record, Changes &Out);
  void putTarget(const std::string &Key, PublishedTarget Target, Changes &Out);
  void remove(const std::string &Key, framework::Instant Now, Changes &Out);
  bool isUnsettled(framework::Instant Now) const { return Now < SettledAt_; }

  RecordDecoder Decode_;
  framework::Duration RecoveryGrace_;
  bool HasList_ = false;
  framework::Revision AsOf_;
  std::optional<framework::Instant> AnsweredAt_;
  framework::Instant SettledAt_{};
  PublishedConfiguration Configuration_;
  std::map<std::string, TargetEntry> Targets_;
  /// Of all targets that were ever known; a name stays in its zone.
  std::map<framework::TargetName, framework::ZoneName> Zones_;
  std::map<std::string, framework::ZoneName> Evacuated_;
  std::map<std::string, LastLife> LastLives_;
  std::map<std::string, std::string> RejectedValues_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H
