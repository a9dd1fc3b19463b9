#include "entry/internal/metricspage.h"

#include "entry/internal/callstatistics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

namespace cranberryspool::entry {

using decision::CoreCounters;
using decision::CoreStatus;
using decision::TargetCondition;
using prometheus::MetricFamily;
using prometheus::MetricType;

namespace {

struct CounterDefinition {
  const char *Name_;
  const char *Help_;
  std::uint64_t CoreCounters::*Member_;
};

constexpr std::array<CounterDefinition, 31> CounterDefinitions = {{
    {"cranberryspool_calls_accepted_total", "Calls accepted",
     &CoreCounters::CallsAccepted_},
    {"cranberryspool_callers_gone_total", "Callers gone before their answer",
     &CoreCounters::CallersGone_},
    {"cranberryspool_calls_replayed_total",
     "Calls given the kept answer of an earlier one",
     &CoreCounters::CallsReplayed_},
    {"cranberryspool_attempts_total", "Attempts sent to targets",
     &CoreCounters::AttemptsSent_},
    {"cranberryspool_attempts_unconfirmed_total",
     "Attempts sent to targets whose records were missing from the store",
     &CoreCounters::AttemptsToUnconfirmed_},
    {"cranberryspool_retries_total", "Attempts after a failed one",
     &CoreCounters::RetriesSent_},
    {"cranberryspool_retries_over_budget_total",
     "Retries not sent for want of budget", &CoreCounters::RetriesOverBudget_},
    {"cranberryspool_hedges_total", "Attempts beside a running one",
     &CoreCounters::HedgesSent_},
    {"cranberryspool_hedges_won_total", "Hedges that gave the answer",
     &CoreCounters::HedgesWon_},
    {"cranberryspool_answers_late_total", "Answers after their call had ended",
     &CoreCounters::AnswersLate_},
    {"cranberryspool_answers_mismatched_total", "Answers to another attempt",
     &CoreCounters::AnswersMismatched_},
    {"cranberryspool_connections_opened_total", "Connections to targets opened",
     &CoreCounters::ConnectionsOpened_},
    {"cranberryspool_connections_refused_total",
     "Connections refused because nothing listened at the target's address",
     &CoreCounters::ConnectionsRefused_},
    {"cranberryspool_connections_silent_total", "Connections judged silent",
     &CoreCounters::ConnectionsSilent_},
    {"cranberryspool_target_crashes_total",
     "Targets that crashed while they had requests of this instance",
     &CoreCounters::TargetCrashes_},
    {"cranberryspool_calls_quarantined_total",
     "Calls ended because their request has crashed several targets",
     &CoreCounters::CallsQuarantined_},
    {"cranberryspool_peer_messages_rejected_total",
     "Messages of instances that could not be decoded or used",
     &CoreCounters::PeerMessagesRejected_},
    {"cranberryspool_calls_over_quota_total", "Calls refused beyond a quota",
     &CoreCounters::CallsOverQuota_},
    {"cranberryspool_quota_requests_unanswered_total",
     "Requests for quota credits that no instance answered in time",
     &CoreCounters::QuotaRequestsUnanswered_},
    {"cranberryspool_quota_messages_rejected_total",
     "Quota messages of instances that could not be used",
     &CoreCounters::QuotaMessagesRejected_},
    {"cranberryspool_slot_share_changes_total",
     "Changes of this instance's shares of contended services",
     &CoreCounters::SlotShareChanges_},
    {"cranberryspool_calls_forwarded_total",
     "Calls offered to other instances because no target could be reached",
     &CoreCounters::CallsForwarded_},
    {"cranberryspool_calls_from_peers_total",
     "Calls that other instances forwarded", &CoreCounters::CallsFromPeers_},
    {"cranberryspool_calls_from_peers_refused_total",
     "Calls that other instances forwarded and that were not taken",
     &CoreCounters::CallsFromPeersRefused_},
    {"cranberryspool_target_updates_total",
     "Times at which changed targets or shares were put in force",
     &CoreCounters::TargetUpdates_},
    {"cranberryspool_probes_total", "Probes sent", &CoreCounters::ProbesSent_},
    {"cranberryspool_pauses_total", "Pauses of the process that were noticed",
     &CoreCounters::Pauses_},
    {"cranberryspool_view_gaps_total",
     "Times at which other instances had a newer view",
     &CoreCounters::ViewGaps_},
    {"cranberryspool_store_outages_total",
     "Times at which the platform's store stopped answering this instance",
     &CoreCounters::StoreOutages_},
    {"cranberryspool_documents_rejected_total", "Published documents refused",
     &CoreCounters::DocumentsRejected_},
    {"cranberryspool_documents_older_ignored_total",
     "Documents below the revision in force",
     &CoreCounters::DocumentsOlderIgnored_},
}};

MetricFamily makeFamily(const char *Name, const char *Help, MetricType Type) {
  MetricFamily Family;
  Family.name = Name;
  Family.help = Help;
  Family.type = Type;
  return Family;
}

MetricFamily counterFamily(const CounterDefinition &Definition,
                           const CoreCounters &Counters) {
  MetricFamily Family =
      makeFamily(Definition.Name_, Definition.Help_, MetricType::Counter);
  prometheus::ClientMetric Metric;
  Metric.counter.value = static_cast<double>(Counters.*Definition.Member_);
  Family.metric.push_back(std::move(Metric));
  return Family;
}

prometheus::ClientMetric gauge(double Value) {
  prometheus::ClientMetric Metric;
  Metric.gauge.value = Value;
  return Metric;
}

MetricFamily gaugeFamily(const char *Name, const char *Help, double Value) {
  MetricFamily Family = makeFamily(Name, Help, MetricType::Gauge);
  Family.metric.push_back(gauge(Value));
  return Family;
}

MetricFamily targetsFamily(const CoreStatus &Status) {
  constexpr std::array<std::pair<TargetCondition, const char *>, 4> States = {
      {{TargetCondition::InService, "in"},
       {TargetCondition::Cold, "cold"},
       {TargetCondition::Ejected, "ejected"},
       {TargetCondition::Leaving, "leaving"}}};
  MetricFamily Family = makeFamily("cranberryspool_targets", "Targets by state",
                                   MetricType::Gauge);
  for (const auto &[Condition, Name] : States) {
    const auto Count = std::count_if(
        Status.Targets_.begin(), Status.Targets_.end(),
        [Condition = Condition](const decision::TargetStatus &Target) {
          return Target.Condition_ == Condition;
        });
    Family.metric.push_back(gauge(static_cast<double>(Count)));
    Family.metric.back().label.push_back({"state", Name});
  }
  return Family;
}

MetricFamily queuesFamily(const CoreStatus &Status) {
  MetricFamily Family =
      makeFamily("cranberryspool_queued_calls",
                 "Calls that wait, by service and urgency", MetricType::Gauge);
  const auto Add = [&Family](const std::string &Service, const char *Urgency,
                             std::size_t Count) {
    Family.metric.push_back(gauge(static_cast<double>(Count)));
    Family.metric.back().label = {{"service", Service}, {"urgency", Urgency}};
  };
  for (const decision::QueueStatus &Queue : Status.Queues_) {
    Add(Queue.Service_.value(), "urgent", Queue.Urgent_);
    Add(Queue.Service_.value(), "ordinary", Queue.Ordinary_);
  }
  return Family;
}

} // namespace

std::string writeMetrics(const CoreCounters &Counters, const CoreStatus &Status,
                         const ResourceUsage &Usage,
                         const CallStatistics &Statistics) {
  std::vector<MetricFamily> Families = Statistics.collect();
  for (const CounterDefinition &Definition : CounterDefinitions)
    Families.push_back(counterFamily(Definition, Counters));
  const auto ReachablePeers = std::count_if(
      Status.Peers_.begin(), Status.Peers_.end(),
      [](const decision::PeerStatus &Peer) { return Peer.IsReachable_; });
  const auto AddGauge = [&Families](const char *Name, const char *Help,
                                    double Value) {
    Families.push_back(gaugeFamily(Name, Help, Value));
  };
  AddGauge("cranberryspool_document_revision", "The revision in force",
           static_cast<double>(Status.DocumentRevision_.value()));
  AddGauge("cranberryspool_ready", "1 while callers may be sent here",
           Status.IsReady_ ? 1 : 0);
  AddGauge("cranberryspool_view_fresh", "1 while new work may be sent",
           Status.IsViewFresh_ ? 1 : 0);
  AddGauge("cranberryspool_view_age_seconds",
           "Time since the platform's store last answered",
           std::chrono::duration<double>(Status.ViewAge_).count());
  AddGauge("cranberryspool_fleet_size",
           "Instances by which shares of bounds are computed",
           static_cast<double>(Status.FleetSize_));
  AddGauge("cranberryspool_log_lines_dropped", "Log lines dropped so far",
           static_cast<double>(Usage.LogLinesDropped_));
  AddGauge("cranberryspool_targets_limited",
           "Targets that limit the requests of all instances",
           static_cast<double>(Status.LimitedTargets_));
  AddGauge("cranberryspool_slots_in_shares",
           "Slots that are this instance's shares of contended services",
           static_cast<double>(Counters.SlotsInShares_));
  AddGauge("cranberryspool_peers_heard", "Peers heard lately",
           static_cast<double>(ReachablePeers));
  AddGauge("cranberryspool_calls_open", "Calls that have not ended",
           static_cast<double>(Status.Calls_));
  AddGauge("cranberryspool_request_bytes", "Bytes held for request bodies",
           static_cast<double>(Usage.RequestBytes_));
  AddGauge("cranberryspool_answer_bytes", "Bytes held for answer bodies",
           static_cast<double>(Usage.ResponseBytes_));
  AddGauge("cranberryspool_input_bytes",
           "Bytes held for request heads and input that is not parsed yet",
           static_cast<double>(Usage.InputBytes_));
  AddGauge("cranberryspool_kept_answer_bytes", "Bytes of kept answers",
           static_cast<double>(Usage.StoredResponseBytes_));
  Families.push_back(targetsFamily(Status));
  Families.push_back(queuesFamily(Status));
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace cranberryspool::entry
