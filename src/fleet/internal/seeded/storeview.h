#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H

#include "fleet/internal/seeded/outagedetector.h"
#include "fleet/internal/seeded/recordtable.h"
#include "fleet/recorddecoder.h"
#include "fleet/types/fleetbounds.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// This instance's view of the platform's metadata store. The changes of a key
/// take effect in the order of their revisions, whichever way they arrive: a
/// full read may be older than what other instances have sent in the meantime.
/// Neither the version of the document nor the registration of a target goes
/// back to an earlier one.
class StoreView {
public:
  /// The parts of the view that an update has changed.
  struct Changes {
    bool IsDocumentChanged_ = false;
    bool AreTargetsChanged_ = false;
    /// The keys of targets whose records state for the first time that they
    /// leave.
    std::vector<std::string> Draining_;
    /// The keys of targets whose records were deleted.
    std::vector<std::string> Removed_;
    /// The keys of targets whose records are missing and that are used until
    /// the recovery grace period ends.
    std::vector<std::string> Deferred_;
    /// The keys of records that are not used, each with the reason.
    std::vector<std::pair<std::string, std::string>> Rejected_;
  };

  /// `Bounds` states how long records may be missing after an outage.
  StoreView(RecordDecoder Decode, const FleetBounds &Bounds)
      : Decode_(std::move(Decode)),
        Outages_(Bounds.LossyOutage_, Bounds.RecoveryGrace_) {}

  /// Returns what is known of outages of the store. The caller records there
  /// what it learns besides the answers that it applies.
  OutageDetector &outages() { return Outages_; }
  const OutageDetector &outages() const { return Outages_; }

  /// Applies a full read of the store: records that are missing were deleted
  /// until revision `AsOf`. Newer records are kept.
  Changes replaceAll(const std::vector<StoredRecord> &Records,
                     framework::Revision AsOf, framework::Instant Now);
  /// Applies a full read whose records may be stale, while `AsOf` may be the
  /// present revision. The view reaches the newest revision of the records
  /// only, so that later changes are read. Its age is not refreshed.
  Changes replaceAllStale(const std::vector<StoredRecord> &Records,
                          framework::Revision AsOf, framework::Instant Now);
  /// Replaces the view by a full read of another history: versions,
  /// registrations and revisions may be lower than before.
  Changes reset(const std::vector<StoredRecord> &Records,
                framework::Revision AsOf, framework::Instant Now);
  /// Returns the key of a record of a full read that cannot be of the same
  /// history as the view, which holds a later one of its key. `Known` is the
  /// newest revision that was known when the read began. Null when there is
  /// none.
  const std::string *findContradicted(const std::vector<StoredRecord> &Records,
                                      framework::Revision Known) const;
  /// Returns true for a record that differs from the one that the view holds of
  /// the same key and revision.
  bool isOtherValue(const StoredRecord &Record) const;
  /// Returns true for a configuration that the view has refused, though it was
  /// written later: its version is not higher.
  bool isRefusedConfiguration(const StoredRecord &Record) const;
  /// Applies changes, which must be in the order of their revisions.
  Changes apply(const std::vector<StoredRecord> &Records,
                framework::Revision AsOf, framework::Instant Now);
  /// Applies the first changes of an answer, of which more follow. The age of
  /// the view stays.
  Changes applyPart(const std::vector<StoredRecord> &Records,
                    framework::Revision UpTo, framework::Instant Now);
  /// Applies single changes while earlier ones are missing. The revision and
  /// the age of the view stay.
  Changes applyAhead(const std::vector<StoredRecord> &Records,
                     framework::Instant Now);
  /// Removes the targets whose records were lost in an outage of the store and
  /// were not written again within the recovery grace period.
  Changes expireMissing(framework::Instant Now);

  const RecordTable &records() const { return Records_; }
  bool isLoaded() const { return IsLoaded_; }
  framework::Revision revision() const { return Revision_; }
  /// Returns the time since the store last answered, or nothing before its
  /// first answer.
  std::optional<framework::Duration> age(framework::Instant Now) const;

  const PublishedConfiguration &configuration() const { return Configuration_; }
  /// Returns the revision at which the configuration was written.
  framework::Revision configurationRevision() const;
  /// Returns the availability zone of a target, or null when it is unknown.
  const framework::ZoneName *zoneOf(const framework::TargetName &Target) const;

  bool hasTargets() const { return !Targets_.empty(); }
  bool isTarget(const std::string &Key) const { return Targets_.contains(Key); }

  /// Returns the number of targets in an availability zone.
  std::size_t countTargets(const framework::ZoneName &Zone) const;

  /// Returns the targets; those in evacuated zones are marked as draining, and
  /// those whose records are missing as unconfirmed.
  std::vector<PublishedTarget> targets() const;

private:
  struct TargetEntry {
    PublishedTarget Target_;
    /// Set when the record was deleted while the store recovered from an
    /// outage.
    std::optional<framework::Instant> MissingSince_;
  };

  /// The start of a target's process and the sequence number of its record.
  struct Registration {
    framework::Incarnation Start_;
    std::uint64_t Sequence_ = 0;
  };

  void replace(const std::vector<StoredRecord> &Records,
               framework::Revision AsOf, framework::Instant Now,
               Changes &Result);
  void recordAnswer(framework::Revision AsOf, framework::Instant Now);
  /// Applies the change of a key unless a later one is known.
  void applyChange(const StoredRecord &Record, framework::Instant Now,
                   Changes &Result);
  void put(const StoredRecord &Record, Changes &Result);
  void putConfiguration(const StoredRecord &Record,
                        PublishedConfiguration Configuration, Changes &Result);
  void reject(const std::string &Key, const std::string &Reason,
              Changes &Result);
  void putTarget(const StoredRecord &Record, PublishedTarget Target,
                 Changes &Result);
  void remove(const std::string &Key, framework::Instant Now, Changes &Result);
  void eraseTarget(std::map<std::string, TargetEntry>::iterator Position);
  /// Returns true while a missing record may be one that the store has lost:
  /// in an outage, of which others may know the end first, and for the recovery
  /// grace period after it.
  bool mayRecordsBeLost(framework::Instant Now) const {
    return Outages_.isRecovering(Now) || Outages_.mayBeAway(Now);
  }

  RecordDecoder Decode_;
  OutageDetector Outages_;
  bool IsLoaded_ = false;
  framework::Revision Revision_;
  std::optional<framework::Instant> AnsweredAt_;
  RecordTable Records_;
  PublishedConfiguration Configuration_;
  /// The key of the record that holds the configuration.
  std::string ConfigurationKey_;
  /// Whether the configuration is of another history, so that any other one
  /// takes its place.
  bool IsConfigurationOutdated_ = false;
  /// The targets by the keys of their records.
  std::map<std::string, TargetEntry> Targets_;
  std::map<framework::ZoneName, std::size_t> TargetCounts_;
  /// The zones of all targets that were ever known, including removed ones: a
  /// target name stays in its zone.
  std::map<framework::TargetName, framework::ZoneName> Zones_;
  /// The evacuated zones by the keys of their records.
  std::map<std::string, framework::ZoneName> EvacuatedZones_;
  /// The newest registration of each target by the key of its record, kept
  /// after the target was removed.
  std::map<std::string, Registration> LastRegistrations_;
  /// The last reason for which the record of a key was rejected, so that each
  /// reason is reported once.
  std::map<std::string, std::string> RejectionReasons_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREVIEW_H
