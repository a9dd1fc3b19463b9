#include "entry/internal/peerlibrary.h"

#include "entry/internal/keptanswerjson.h"
#include "entry/internal/peermethods.h"
#include "entry/internal/sectionsjson.h"

namespace cranberryspool::entry {

namespace {

constexpr framework::Duration DispatchTimeout = std::chrono::seconds(1);
constexpr unsigned NotFound = 404;

} // namespace

PeerLibrary::PeerLibrary(InstanceState &Shared)
    : Shared_(Shared),
      Methods_({{FetchSectionsMethod,
                 [this](const std::string &Parameters) {
                   return fetchSections(Parameters);
                 }},
                {FetchKeptAnswerMethod, [this](const std::string &Parameters) {
                   return fetchKeptAnswer(Parameters);
                 }}}) {}

ServiceAnswer PeerLibrary::answer(const ServiceQuestion &Question) {
  if (Question.Method_ != "POST" || Question.Path_ != PeerMethodsPath)
    return {NotFound, "text/plain", "no such method\n"};
  return {200, "application/json", Methods_.handle(Question.Body_)};
}

std::string PeerLibrary::fetchSections(const std::string &Parameters) {
  auto Wanted = readSectionRequest(Parameters);
  if (!Wanted)
    return {};
  const auto Reply = Shared_.Sections_.ask(std::move(*Wanted), DispatchTimeout);
  return Reply ? writeSectionReply(*Reply) : std::string();
}

std::string PeerLibrary::fetchKeptAnswer(const std::string &Parameters) {
  const auto Call = readKeptAnswerQuestion(Parameters);
  if (!Call)
    return {};
  return writeKeptAnswer(Shared_.KeptAnswers_.find(*Call).get());
}

} // namespace cranberryspool::entry
