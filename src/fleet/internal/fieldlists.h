#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_FIELDLISTS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_FIELDLISTS_H

#include "fleet/peermessage.h"

namespace cranberryspool::fleet {

/// Calls `Visit` with each field of a message, in the order of the encoding.
template <typename Visitor> void visitFields(PeerView &Item, Visitor &&Visit) {
  Visit(Item.DocumentRevision_);
  Visit(Item.DocumentAge_);
  Visit(Item.ListRevision_);
  Visit(Item.ListAge_);
  Visit(Item.MembersDigest_);
}

template <typename Visitor>
void visitFields(RestartNotice &Item, Visitor &&Visit) {
  Visit(Item.Target_);
  Visit(Item.StartId_);
}

template <typename Visitor>
void visitFields(WarmTargets &Item, Visitor &&Visit) {
  Visit(Item.ListRevision_);
  Visit(Item.Bits_);
}

template <typename Visitor> void visitFields(Heartbeat &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Sequence_);
  Visit(Item.Address_);
  Visit(Item.View_);
  Visit(Item.RestartNotices_);
  Visit(Item.IsWarmStateRequested_);
}

template <typename Visitor>
void visitFields(HeartbeatAck &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Address_);
  Visit(Item.EchoIncarnation_);
  Visit(Item.EchoSequence_);
  Visit(Item.NewestIncarnation_);
  Visit(Item.View_);
  Visit(Item.RestartNotices_);
  Visit(Item.WarmTargets_);
}

template <typename Visitor>
void visitFields(KeyRequest &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Address_);
  Visit(Item.Call_);
  Visit(Item.Key_);
}

template <typename Visitor> void visitFields(KeyReply &Item, Visitor &&Visit) {
  Visit(Item.EchoIncarnation_);
  Visit(Item.Call_);
  Visit(Item.Decision_);
  Visit(Item.Runner_);
  Visit(Item.RunnerIncarnation_);
  Visit(Item.RunnerAddress_);
  Visit(Item.RunnerCall_);
}

template <typename Visitor> void visitFields(KeyEnded &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Address_);
  Visit(Item.Call_);
  Visit(Item.Key_);
  Visit(Item.Outcome_);
}

template <typename Visitor>
void visitFields(KeyEndedAck &Item, Visitor &&Visit) {
  Visit(Item.EchoIncarnation_);
  Visit(Item.Call_);
}

template <typename Visitor> void visitFields(KeyRecord &Item, Visitor &&Visit) {
  Visit(Item.Key_);
  Visit(Item.Runner_);
  Visit(Item.RunnerIncarnation_);
  Visit(Item.RunnerAddress_);
  Visit(Item.RunnerCall_);
  Visit(Item.Outcome_);
}

template <typename Visitor>
void visitFields(KeyHandover &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Address_);
  Visit(Item.ToIncarnation_);
  Visit(Item.MembersDigest_);
  Visit(Item.ListRevision_);
  Visit(Item.Part_);
  Visit(Item.Parts_);
  Visit(Item.KnownSince_);
  Visit(Item.Records_);
}

template <typename Visitor>
void visitFields(KeyHandoverAck &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.EchoIncarnation_);
  Visit(Item.MembersDigest_);
  Visit(Item.Part_);
}

template <typename Visitor>
void visitFields(MemberInfo &Item, Visitor &&Visit) {
  Visit(Item.Name_);
  Visit(Item.Incarnation_);
  Visit(Item.Zone_);
  Visit(Item.Address_);
  Visit(Item.Age_);
}

template <typename Visitor>
void visitFields(GossipMessage &Item, Visitor &&Visit) {
  Visit(Item.Members_);
  Visit(Item.IsReplyRequested_);
  Visit(Item.IsStopping_);
}

template <typename Visitor>
void visitFields(routing::RequestRate &Item, Visitor &&Visit) {
  Visit(Item.Millihertz_);
}

template <typename Visitor>
void visitFields(routing::LoadReport &Item, Visitor &&Visit) {
  Visit(Item.InFlight_);
  Visit(Item.Queued_);
  Visit(Item.Slots_);
  Visit(Item.IsCold_);
  Visit(Item.IsDraining_);
  Visit(Item.SlowdownPercent_);
  Visit(Item.WarmupLeft_);
  Visit(Item.RequestLimit_);
}

template <typename Visitor>
void visitFields(TargetLoad &Item, Visitor &&Visit) {
  Visit(Item.Target_);
  Visit(Item.Report_);
  Visit(Item.Age_);
}

template <typename Visitor>
void visitFields(LoadUpdate &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Loads_);
}

template <typename Visitor>
void visitFields(ReplicatedRecord &Item, Visitor &&Visit) {
  Visit(Item.Key_);
  Visit(Item.Value_);
  Visit(Item.Revision_);
  Visit(Item.IsDeleted_);
}

template <typename Visitor>
void visitFields(RecordUpdate &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.FromRevision_);
  Visit(Item.ToRevision_);
  Visit(Item.Age_);
  Visit(Item.AnsweredAt_);
  Visit(Item.Records_);
}

template <typename Visitor>
void visitFields(calls::RequestFingerprint &Item, Visitor &&Visit) {
  Visit(Item.High_);
  Visit(Item.Low_);
}

template <typename Visitor>
void visitFields(CrashedTarget &Item, Visitor &&Visit) {
  Visit(Item.Target_);
  Visit(Item.Age_);
}

template <typename Visitor>
void visitFields(CrashNotice &Item, Visitor &&Visit) {
  Visit(Item.Request_);
  Visit(Item.Crashes_);
  Visit(Item.CompletedAge_);
}

template <typename Visitor>
void visitFields(CrashUpdate &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Notices_);
}

template <typename Visitor>
void visitFields(capacity::ServiceDemand &Item, Visitor &&Visit) {
  Visit(Item.Service_);
  Visit(Item.Calls_);
}

template <typename Visitor>
void visitFields(capacity::DemandUpdate &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Sequence_);
  Visit(Item.Services_);
}

template <typename Visitor>
void visitFields(RecordFragment &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.FromRevision_);
  Visit(Item.ToRevision_);
  Visit(Item.Age_);
  Visit(Item.AnsweredAt_);
  Visit(Item.Key_);
  Visit(Item.Index_);
  Visit(Item.Count_);
  Visit(Item.Bytes_);
}

template <typename Visitor>
void visitFields(RecordRequest &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.After_);
  Visit(Item.Age_);
  Visit(Item.LargeRevision_);
  Visit(Item.MissingParts_);
}

template <typename Visitor>
void visitFields(StoreAvailability &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Age_);
  Visit(Item.AvailableFor_);
}

template <typename Visitor>
void visitFields(ViewReplaced &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Revision_);
  Visit(Item.Digest_);
}

template <typename Visitor>
void visitFields(RecordPart &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.FromRevision_);
  Visit(Item.ToRevision_);
  Visit(Item.Age_);
  Visit(Item.AnsweredAt_);
  Visit(Item.Key_);
  Visit(Item.RecordRevision_);
  Visit(Item.ValueBytes_);
  Visit(Item.Index_);
  Visit(Item.Count_);
  Visit(Item.Bytes_);
}

template <typename Visitor>
void visitFields(quotas::FleetSize &Item, Visitor &&Visit) {
  Visit(Item.Count_);
  Visit(Item.Age_);
}

template <typename Visitor>
void visitFields(quotas::QuotaRequest &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.Workspace_);
  Visit(Item.Sequence_);
  Visit(Item.IsForShare_);
  Visit(Item.Wanted_);
  Visit(Item.Returned_);
  Visit(Item.Fleet_);
}

template <typename Visitor>
void visitFields(quotas::QuotaGrant &Item, Visitor &&Visit) {
  Visit(Item.From_);
  Visit(Item.Incarnation_);
  Visit(Item.EchoIncarnation_);
  Visit(Item.EchoSequence_);
  Visit(Item.Workspace_);
  Visit(Item.Granted_);
  Visit(Item.NextCreditIn_);
  Visit(Item.Fleet_);
}

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_FIELDLISTS_H
