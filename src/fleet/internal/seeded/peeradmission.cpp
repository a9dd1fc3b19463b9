#include "fleet/internal/seeded/peeradmission.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

bool PeerAdmission::recordHeard(const MemberInfo &Sender, Transport Via,
                                framework::Instant Now) {
  const std::pair Key(Sender.Name_, Sender.Incarnation_);
  const auto Known = Candidates_.find(Key);
  if (Known != Candidates_.end()) {
    Known->second.Info_ = Sender;
    Known->second.Via_ = Via;
    Known->second.HeardAt_ = Now;
    return false;
  }
  if (Candidates_.size() >= MaxCandidates)
    return false;
  Candidates_.emplace(Key, Candidate{.Info_ = Sender,
                                     .Via_ = Via,
                                     .HeardAt_ = Now,
                                     .NextRequestAt_ = Now + InitialDelay,
                                     .Delay_ = InitialDelay,
                                     .Requests_ = 1});
  return true;
}

void PeerAdmission::add(const MemberInfo &Member, framework::Instant Now) {
  if (Candidates_.size() < MaxCandidates)
    Candidates_.emplace(std::pair(Member.Name_, Member.Incarnation_),
                        Candidate{.Info_ = Member,
                                  .HeardAt_ = Now,
                                  .NextRequestAt_ = Now,
                                  .Delay_ = InitialDelay});
}

const PeerAdmission::Candidate *
PeerAdmission::find(const framework::InstanceName &Name,
                    framework::Incarnation Incarnation) const {
  const auto Found = Candidates_.find({Name, Incarnation});
  return Found == Candidates_.end() ? nullptr : &Found->second;
}

void PeerAdmission::recordEvidence(const framework::InstanceName &Name,
                                   framework::Incarnation Incarnation,
                                   std::string RecordKey,
                                   framework::Instant Now) {
  if (Evidence_.size() < MaxCandidates)
    Evidence_.insert_or_assign({Name, Incarnation},
                               Evidence{std::move(RecordKey), Now});
}

std::optional<std::string>
PeerAdmission::takeEvidence(const framework::InstanceName &Name,
                            framework::Incarnation Incarnation) {
  const auto Found = Evidence_.find({Name, Incarnation});
  if (Found == Evidence_.end())
    return std::nullopt;
  std::string RecordKey = std::move(Found->second.RecordKey_);
  Evidence_.erase(Found);
  return RecordKey;
}

std::vector<PeerAdmission::Candidate>
PeerAdmission::takeDue(std::size_t Limit, framework::Instant Now) {
  std::erase_if(Candidates_, [&](const auto &Each) {
    return Now - Each.second.HeardAt_ > SilenceTimeout;
  });
  std::erase_if(Evidence_, [&](const auto &Each) {
    return Now - Each.second.ReceivedAt_ > SilenceTimeout;
  });
  std::vector<Candidate *> Due;
  for (auto &[Key, Each] : Candidates_)
    if (Each.NextRequestAt_ <= Now)
      Due.push_back(&Each);
  std::sort(Due.begin(), Due.end(),
            [](const Candidate *Left, const Candidate *Right) {
              return Left->Requests_ < Right->Requests_;
            });
  Due.resize(std::min(Due.size(), Limit));
  std::vector<Candidate> Taken;
  for (Candidate *Each : Due) {
    Taken.push_back(*Each);
    ++Each->Requests_;
    Each->NextRequestAt_ = Now + Each->Delay_;
    Each->Delay_ = std::min(Each->Delay_ * 3 / 2, MaxDelay);
  }
  return Taken;
}

} // namespace cranberryspool::fleet
