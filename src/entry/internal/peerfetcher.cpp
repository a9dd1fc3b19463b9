#include "entry/internal/peerfetcher.h"

#include "entry/internal/httppost.h"
#include "entry/internal/listen.h"
#include "entry/internal/peermethods.h"
#include "entry/internal/sectionsjson.h"
#include "entry/internal/storedresponsejson.h"
#include "rpc/client.h"

namespace cranberryspool::entry {

namespace {

constexpr framework::Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

template <typename CommandType>
PeerFetcher<CommandType>::PeerFetcher(boost::asio::io_context &Io,
                                      const EntrySettings &Settings,
                                      framework::Mailbox<CommandType> &Commands,
                                      WorkerMailboxes &Mailboxes,
                                      InstanceState &State)
    : Settings_(Settings), Commands_(Commands), State_(State),
      Dispatch_(Io, Mailboxes.Dispatch_) {
  Commands_.attach(Io, [this](const CommandType &Command) { fetch(Command); });
}

template <typename CommandType> PeerFetcher<CommandType>::~PeerFetcher() {
  Commands_.detach();
}

/// Returns the JSON text of the result; empty when the call failed.
template <typename CommandType>
std::string
PeerFetcher<CommandType>::call(const std::string &PeerAddress,
                               const std::string &Method,
                               const std::string &Parameters) const {
  const auto Peer = parseEndpoint(PeerAddress);
  if (!Peer)
    return {};
  PostRequest Post;
  Post.Source_ = Settings_.PeerListen_.Address_;
  Post.Destination_ = Peer.value();
  Post.Path_ = PeerMethodsPath;
  Post.Timeout_ = FetchTimeout;
  Post.MaxResponseBytes_ = Settings_.Limits_.PlatformBytes_;
  rpc::Client Client(
      [&Post](const std::string &Request, std::string &Response) {
        auto Body = postAndWait(Post, Request);
        if (!Body)
          return false;
        Response = std::move(*Body);
        return true;
      });
  return Client.call(Method, Parameters).Text_;
}

template <>
void PeerFetcher<decision::FetchSections>::fetch(
    const decision::FetchSections &Command) {
  auto Reply = readSectionReply(call(Command.PeerAddress_, FetchSectionsMethod,
                                     writeSectionRequest(Command.Request_)));
  DispatchInput Input;
  if (Reply)
    Input.Event_ =
        decision::SectionsFetched{Command.PeerAddress_, std::move(*Reply)};
  else
    Input.Event_ = decision::SectionsUnavailable{Command.PeerAddress_};
  Dispatch_.send(std::move(Input));
}

template <>
void PeerFetcher<decision::FetchKeptAnswer>::fetch(
    const decision::FetchKeptAnswer &Command) {
  auto StoredResponse =
      readStoredResponse(call(Command.PeerAddress_, FetchStoredResponseMethod,
                              writeStoredResponseRequest(Command.PeerCall_)));
  const bool IsFound = StoredResponse &&
                       StoredResponse->Reservation_.tryReserve(
                           State_.ResponseBytes_, StoredResponse->Body_.size());
  DispatchInput Input;
  Input.Event_ = decision::KeptAnswerFetched{Command.Call_, IsFound};
  if (IsFound)
    Input.Response_ =
        std::make_shared<const TargetResponse>(std::move(*StoredResponse));
  Dispatch_.send(std::move(Input));
}

template class PeerFetcher<decision::FetchSections>;
template class PeerFetcher<decision::FetchKeptAnswer>;

} // namespace cranberryspool::entry
