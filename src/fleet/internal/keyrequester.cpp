#include "fleet/internal/keyrequester.h"
#include "fleet/internal/keytiming.h"
#include "fleet/internal/parsedkey.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryspool::fleet {

namespace {

constexpr framework::Duration RequestRetryInterval =
    std::chrono::milliseconds(50);

/// An owner that has not responded within this time is considered unreachable.
constexpr framework::Duration RequestTimeout = std::chrono::milliseconds(400);

constexpr framework::Duration ReportRetryInterval =
    std::chrono::milliseconds(200);

KeyOutcome outcomeOf(calls::Ending Ending, bool IsResponseStored) {
  switch (Ending) {
  case calls::Ending::Answered:
    return IsResponseStored ? KeyOutcome::ResponseStored
                            : KeyOutcome::ResponseUnavailable;
  case calls::Ending::NotRun:
  case calls::Ending::DeadlinePassed:
    return KeyOutcome::NotRun;
  case calls::Ending::Unknown:
    break;
  }
  return KeyOutcome::ResponseUnavailable;
}

} // namespace

KeyRequester::KeyRequester(const FleetSettings &Settings)
    : Settings_(Settings) {}

KeyRequest
KeyRequester::makeRequest(framework::CallId Call,
                          const framework::IdempotencyKey &Key) const {
  return KeyRequest{Settings_.Self_, Settings_.Incarnation_, Settings_.Address_,
                    Call, Key};
}

void KeyRequester::request(framework::CallId Call,
                           const framework::IdempotencyKey &Key,
                           const InstanceStore &List, KeyAdmission &Admission,
                           const PeerTable &Peers, framework::Moment Now,
                           OutputList &Output) {
  const auto Parsed = parseKey(Key);
  if (!Parsed) {
    Output.push_back(KeyDecided{Call, KeyDecision::Invalid, "", {}});
    return;
  }
  const document::PublishedInstance *Owner =
      findOwner(Parsed->Key_.value(), List.members());
  if (!Owner) {
    Output.push_back(KeyDecided{Call, KeyDecision::OwnerUnreachable, "", {}});
    return;
  }
  const framework::Instant At = Now.Monotonic_;
  Pending_[Call] = PendingRequest{Parsed->Key_, At, At + RequestTimeout};
  sendRequest(Call, List, Admission, Peers, Now, Output);
}

void KeyRequester::complete(framework::CallId Call, const KeyReply &Reply,
                            const InstanceStore &List, OutputList &Output) {
  const auto Item = Pending_.find(Call);
  if (Reply.Decision_ == KeyDecision::Run)
    Running_[Call] = Item->second.Key_;
  Pending_.erase(Item);
  KeyDecided Decided{Call, Reply.Decision_, "", Reply.RunnerCall_};
  const bool IsReplay = Reply.Decision_ == KeyDecision::Replay;
  if (IsReplay && Reply.Runner_ != Settings_.Self_)
    Decided.PeerAddress_ = List.addressOf(Reply.Runner_, Reply.RunnerAddress_);
  const bool IsFromEarlierIncarnation =
      IsReplay && Reply.Runner_ == Settings_.Self_ &&
      Reply.RunnerIncarnation_ != Settings_.Incarnation_;
  if (IsFromEarlierIncarnation)
    Decided.Decision_ = KeyDecision::ResponseUnavailable;
  Output.push_back(std::move(Decided));
}

void KeyRequester::handleReply(const KeyReply &Message,
                               const InstanceStore &List, framework::Moment Now,
                               OutputList &Output) {
  if (Message.EchoIncarnation_ != Settings_.Incarnation_)
    return;
  const auto Item = Pending_.find(Message.Call_);
  if (Item == Pending_.end() || Now.Monotonic_ > Item->second.Deadline_)
    return;
  complete(Message.Call_, Message, List, Output);
}

void KeyRequester::scheduleReport(framework::CallId Call,
                                  const framework::IdempotencyKey &Key,
                                  KeyOutcome Outcome, framework::Instant Now) {
  Reports_[Call] = PendingReport{Key, Outcome, Now, Now + KeyLifetime};
}

void KeyRequester::handleCallEnd(framework::CallId Call, calls::Ending Ending,
                                 bool IsResponseStored, framework::Moment Now) {
  const auto Item = Running_.find(Call);
  if (Item == Running_.end())
    return;
  const KeyOutcome Outcome = outcomeOf(Ending, IsResponseStored);
  if (Outcome == KeyOutcome::ResponseStored)
    StoredResponses_[Call] = Now.Monotonic_ + KeyLifetime + 2 * KeyClockSkew;
  scheduleReport(Call, Item->second, Outcome, Now.Monotonic_);
  Running_.erase(Item);
}

void KeyRequester::handleEndedAck(const KeyEndedAck &Message) {
  if (Message.EchoIncarnation_ == Settings_.Incarnation_)
    Reports_.erase(Message.Call_);
}

void KeyRequester::tick(const InstanceStore &List, KeyAdmission &Admission,
                        const PeerTable &Peers, framework::Moment Now,
                        OutputList &Output) {
  tickPending(List, Admission, Peers, Now, Output);
  tickReports(List, Admission, Now, Output);
  for (auto Item = StoredResponses_.begin(); Item != StoredResponses_.end();) {
    if (Now.Monotonic_ < Item->second) {
      ++Item;
      continue;
    }
    Output.push_back(StoredResponseExpired{Item->first});
    Item = StoredResponses_.erase(Item);
  }
}

void KeyRequester::tickPending(const InstanceStore &List,
                               KeyAdmission &Admission, const PeerTable &Peers,
                               framework::Moment Now, OutputList &Output) {
  std::vector<framework::CallId> Due;
  for (const auto &[Call, PendingCall] : Pending_) {
    if (Now.Monotonic_ >= std::min(PendingCall.NextAt_, PendingCall.Deadline_))
      Due.push_back(Call);
  }
  for (const framework::CallId Call : Due) {
    if (Now.Monotonic_ >= Pending_.at(Call).Deadline_)
      handleTimeout(Call, Now.Monotonic_, Output);
    else
      sendRequest(Call, List, Admission, Peers, Now, Output);
  }
}

void KeyRequester::handleTimeout(framework::CallId Call, framework::Instant Now,
                                 OutputList &Output) {
  const auto Item = Pending_.find(Call);
  scheduleReport(Call, Item->second.Key_, KeyOutcome::NotRun, Now);
  Output.push_back(KeyDecided{Call, KeyDecision::OwnerUnreachable, "", {}});
  Pending_.erase(Item);
}

void KeyRequester::sendRequest(framework::CallId Call,
                               const InstanceStore &List,
                               KeyAdmission &Admission, const PeerTable &Peers,
                               framework::Moment Now, OutputList &Output) {
  PendingRequest &PendingCall = Pending_.at(Call);
  PendingCall.NextAt_ = Now.Monotonic_ + RequestRetryInterval;
  const document::PublishedInstance *Owner =
      findOwner(PendingCall.Key_.value(), List.members());
  if (!Owner)
    return;
  const KeyRequest Request = makeRequest(Call, PendingCall.Key_);
  if (Owner->Name_ != Settings_.Self_) {
    Output.push_back(SendMessage{Owner->Address_, Request});
    return;
  }
  if (const auto Reply = Admission.decide(Request, Peers, Now))
    complete(Call, *Reply, List, Output);
}

void KeyRequester::tickReports(const InstanceStore &List,
                               KeyAdmission &Admission, framework::Moment Now,
                               OutputList &Output) {
  const framework::Instant At = Now.Monotonic_;
  for (auto Item = Reports_.begin(); Item != Reports_.end();) {
    auto &[Call, EndReport] = *Item;
    const document::PublishedInstance *Owner =
        findOwner(EndReport.Key_.value(), List.members());
    const KeyEnded Message{Settings_.Self_,    Settings_.Incarnation_,
                           Settings_.Address_, Call,
                           EndReport.Key_,     EndReport.Outcome_};
    const bool IsOwner = Owner && Owner->Name_ == Settings_.Self_;
    if (IsOwner)
      Admission.handleCallEnd(Message, Now);
    if (IsOwner || At >= EndReport.Deadline_) {
      Item = Reports_.erase(Item);
      continue;
    }
    if (At >= EndReport.NextAt_ && Owner) {
      EndReport.NextAt_ = At + ReportRetryInterval;
      Output.push_back(SendMessage{Owner->Address_, Message});
    }
    ++Item;
  }
}

framework::Instant KeyRequester::nextWakeUp() const {
  framework::Instant Next = framework::Instant::max();
  for (const auto &[Call, PendingCall] : Pending_)
    Next = std::min({Next, PendingCall.NextAt_, PendingCall.Deadline_});
  return Next;
}

} // namespace cranberryspool::fleet
