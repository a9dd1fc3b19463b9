#include "fleet/internal/keyownership.h"
#include "fleet/internal/keytiming.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cranberryspool::fleet {

namespace {

/// The most handovers that are remembered; a forgotten one only makes unknown
/// keys be refused for longer.
constexpr std::size_t MaxHandovers = 256;

/// Returns until when a majority counts: the time of the evidence that
/// completes it, plus the window; the distant past when there is none.
framework::Instant
majorityUntil(const std::vector<document::PublishedInstance> &Members,
              const framework::InstanceName &Self, const PeerTable &Peers,
              const std::function<bool(const PeerView &)> &IsCounted) {
  std::size_t Listed = 0;
  std::size_t Own = 0;
  std::vector<framework::Instant> Heard;
  for (const document::PublishedInstance &Member : Members) {
    if (Member.IsLeaving_)
      continue;
    ++Listed;
    if (Member.Name_ == Self) {
      Own = 1;
      continue;
    }
    const PeerRecord *Peer = Peers.find(Member.Name_);
    if (Peer && Peer->AskedAt_ && IsCounted(Peer->View_))
      Heard.push_back(*Peer->AskedAt_);
  }
  if (Listed == 0)
    return framework::Instant::min();
  const std::size_t Needed = Listed / 2 + 1 - Own;
  if (Needed == 0)
    return framework::Instant::max();
  if (Heard.size() < Needed)
    return framework::Instant::min();
  std::nth_element(Heard.begin(), Heard.begin() + (Needed - 1), Heard.end(),
                   std::greater<>());
  return Heard[Needed - 1] + majorityWindow(Listed);
}

} // namespace

KeyOwnership::KeyOwnership(framework::InstanceName Self)
    : Self_(Self), Homes_(std::move(Self)) {}

void KeyOwnership::update(const InstanceStore &List, const PeerTable &Peers,
                          framework::Instant Now) {
  if (!List.hasValue())
    return;
  if (List.membersDigest() != CurrentDigest_) {
    CurrentDigest_ = List.membersDigest();
    Members_ = List.members();
    FleetSize_ = std::max<std::size_t>(Members_.size(), 1);
    MembersChangedAt_ = Now;
    Homes_.noteMembers(Members_, CurrentDigest_, ListRevision_);
  }
  ListRevision_ = List.revision();
  if (Now > MajorityUntil_)
    Homes_.noteLapse();
  MajorityUntil_ =
      majorityUntil(List.members(), Self_, Peers, [this](const PeerView &View) {
        return Homes_.isKnown(View.MembersDigest_);
      });
  if (Homes_.isSettled())
    return;
  const framework::Instant SettledUntil =
      majorityUntil(List.members(), Self_, Peers, [this](const PeerView &View) {
        return View.MembersDigest_ == CurrentDigest_;
      });
  if (Now <= SettledUntil)
    Homes_.noteSettled(Now);
}

void KeyOwnership::noteHandover(const framework::InstanceName &From,
                                framework::Digest Members,
                                framework::Revision Revision,
                                framework::WallTime Floor) {
  Handovers_.push_back(Handover{From, Members, Revision, Floor});
  if (Handovers_.size() > MaxHandovers)
    Handovers_.pop_front();
}

const KeyOwnership::Handover *
KeyOwnership::findHandover(const Tenure &Item) const {
  if (!Item.Digest_)
    return nullptr;
  for (const Handover &Known : Handovers_) {
    if (Known.Members_ == *Item.Digest_ && Known.From_ == Item.HomeBefore_ &&
        Known.Revision_ > Item.RevisionBefore_)
      return &Known;
  }
  return nullptr;
}

framework::WallTime KeyOwnership::floorOf(const Tenure &Item,
                                          framework::Moment Now) const {
  const framework::Duration Held = Now.Monotonic_ - Item.Since_;
  return Now.Wall_ - Held + keyTakeoverWait(FleetSize_) + KeyClockSkew;
}

std::optional<framework::WallTime>
KeyOwnership::floor(const framework::IdempotencyKey &Key,
                    framework::Moment Now) const {
  if (!hasMajority(Now.Monotonic_))
    return std::nullopt;
  const document::PublishedInstance *Home = findHome(Key.value(), Members_);
  if (!Home || Home->Name_ != Self_)
    return std::nullopt;
  const auto Item = Homes_.tenure(Key.value());
  if (!Item)
    return std::nullopt;
  if (const Handover *Known = findHandover(*Item))
    return Known->Floor_;
  if (Now.Monotonic_ < Item->Since_ + keyTakeoverWait(FleetSize_))
    return std::nullopt;
  return floorOf(*Item, Now);
}

bool KeyOwnership::isSettling(framework::Instant Now) const {
  return !Homes_.isSettled() && Now < MembersChangedAt_ + KeySettlingTime;
}

bool KeyOwnership::isTakingOver(const framework::IdempotencyKey &Key,
                                framework::Instant Now) const {
  const document::PublishedInstance *Home = findHome(Key.value(), Members_);
  const bool IsHome = Home && Home->Name_ == Self_;
  return IsHome && hasMajority(Now) &&
         Now < MembersChangedAt_ + KeySettlingTime;
}

std::optional<framework::WallTime>
KeyOwnership::latestFloor(framework::Moment Now) const {
  if (!Homes_.isSettled() || !hasMajority(Now.Monotonic_))
    return std::nullopt;
  framework::WallTime Latest{};
  for (const Tenure &Item : Homes_.allTenures()) {
    const Handover *Known = findHandover(Item);
    Latest = std::max(Latest, Known ? Known->Floor_ : floorOf(Item, Now));
  }
  return Latest;
}

} // namespace cranberryspool::fleet
