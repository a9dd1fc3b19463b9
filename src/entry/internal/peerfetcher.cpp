#include "entry/internal/peerfetcher.h"

#include "entry/internal/httppost.h"
#include "entry/internal/keptanswerjson.h"
#include "entry/internal/listen.h"
#include "entry/internal/peermethods.h"
#include "entry/internal/sectionsjson.h"
#include "rpc/client.h"

namespace cranberryspool::entry {

namespace {

constexpr framework::Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

template <typename Order>
PeerFetcher<Order>::PeerFetcher(boost::asio::io_context &Io,
                                const EntrySettings &Settings,
                                framework::Mailbox<Order> &Orders,
                                Mailboxes &Rings, InstanceState &Shared)
    : Settings_(Settings), Orders_(Orders), Shared_(Shared),
      Dispatch_(Io, Rings.Dispatch_) {
  Orders_.attach(Io, [this](const Order &Wanted) { fetch(Wanted); });
}

template <typename Order> PeerFetcher<Order>::~PeerFetcher() {
  Orders_.detach();
}

/// Returns the text of the result; empty when there is none.
template <typename Order>
std::string PeerFetcher<Order>::call(const std::string &PeerAddress,
                                     const std::string &Method,
                                     const std::string &Parameters) const {
  const auto Peer = parseEndpoint(PeerAddress);
  if (!Peer)
    return {};
  PostRoute Route;
  Route.Source_ = Settings_.PeerListen_.Address_;
  Route.Destination_ = Peer.value();
  Route.Path_ = PeerMethodsPath;
  Route.Timeout_ = FetchTimeout;
  Route.AnswerBytes_ = Settings_.Limits_.PlatformBytes_;
  rpc::Client Caller(
      [&Route](const std::string &Request, std::string &Response) {
        auto Body = postAndWait(Route, Request);
        if (!Body)
          return false;
        Response = std::move(*Body);
        return true;
      });
  return Caller.call(Method, Parameters).Text_;
}

template <>
void PeerFetcher<decision::FetchSections>::fetch(
    const decision::FetchSections &Wanted) {
  auto Reply = readSectionReply(call(Wanted.PeerAddress_, FetchSectionsMethod,
                                     writeSectionRequest(Wanted.Request_)));
  DispatchInput Input;
  if (Reply)
    Input.Event_ =
        decision::SectionsFetched{Wanted.PeerAddress_, std::move(*Reply)};
  else
    Input.Event_ = decision::SectionsUnavailable{Wanted.PeerAddress_};
  Dispatch_.send(std::move(Input));
}

template <>
void PeerFetcher<decision::FetchKeptAnswer>::fetch(
    const decision::FetchKeptAnswer &Wanted) {
  auto Kept = readKeptAnswer(call(Wanted.PeerAddress_, FetchKeptAnswerMethod,
                                  writeKeptAnswerQuestion(Wanted.PeerCall_)));
  const bool IsFound = Kept && Kept->Reservation_.tryReserve(
                                   Shared_.AnswerBytes_, Kept->Body_.size());
  DispatchInput Input;
  Input.Event_ = decision::KeptAnswerFetched{Wanted.Call_, IsFound};
  if (IsFound)
    Input.Answer_ = std::make_shared<const TargetAnswer>(std::move(*Kept));
  Dispatch_.send(std::move(Input));
}

template class PeerFetcher<decision::FetchSections>;
template class PeerFetcher<decision::FetchKeptAnswer>;

} // namespace cranberryspool::entry
