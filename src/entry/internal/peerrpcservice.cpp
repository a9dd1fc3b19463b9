#include "entry/internal/peerrpcservice.h"

#include "entry/internal/peermethods.h"
#include "entry/internal/sectionsjson.h"
#include "entry/internal/storedresponsejson.h"

namespace cranberryspool::entry {

namespace {

constexpr framework::Duration DispatchResponseTimeout = std::chrono::seconds(1);
constexpr unsigned NotFound = 404;

} // namespace

PeerRpcService::PeerRpcService(InstanceState &State)
    : State_(State),
      Methods_(
          {{FetchSectionsMethod,
            [this](const std::string &Parameters) {
              return fetchSections(Parameters);
            }},
           {FetchStoredResponseMethod, [this](const std::string &Parameters) {
              return fetchStoredResponse(Parameters);
            }}}) {}

ServiceResponse PeerRpcService::handle(const ServiceRequest &Request) {
  if (Request.Method_ != "POST" || Request.Path_ != PeerMethodsPath)
    return {NotFound, "text/plain", "no such method\n"};
  return {200, "application/json", Methods_.handle(Request.Body_)};
}

std::string PeerRpcService::fetchSections(const std::string &Parameters) {
  auto Request = readSectionRequest(Parameters);
  if (!Request)
    return {};
  const auto Reply =
      State_.Sections_.request(std::move(*Request), DispatchResponseTimeout);
  return Reply ? writeSectionReply(*Reply) : std::string();
}

std::string PeerRpcService::fetchStoredResponse(const std::string &Parameters) {
  const auto Call = readStoredResponseRequest(Parameters);
  if (!Call)
    return {};
  return writeStoredResponse(State_.StoredResponses_.find(*Call).get());
}

} // namespace cranberryspool::entry
