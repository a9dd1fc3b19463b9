#include "session/environmentfile.h"

#include "document/parsedocument.h"
#include "session/internal/jsonobjectreader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <string>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

SessionError invalidEnvironment(std::string Member) {
  return SessionError{0, SessionErrorCode::InvalidEnvironment,
                      std::move(Member)};
}

std::optional<document::PublishedInstance>
parseInstance(const json::value &Value) {
  if (!Value.is_object())
    return std::nullopt;
  JsonObjectReader Reader(Value.get_object());
  const auto Name = Reader.text("name");
  const auto Zone = Reader.text("zone");
  const auto Address = Reader.text("address");
  if (!Name || !Zone || !Address)
    return std::nullopt;
  document::PublishedInstance Instance{.Name_ = framework::InstanceName(*Name),
                                       .Group_ = std::nullopt,
                                       .Zone_ = framework::ZoneName(*Zone),
                                       .Address_ = *Address};
  if (Reader.has("group"))
    Instance.Group_ = framework::GroupName(Reader.text("group").value_or(""));
  return Instance;
}

} // namespace

framework::Result<EnvironmentSetup, SessionError>
parseEnvironmentSetup(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Root =
      json::parse(json::string_view(Text.data(), Text.size()), Error);
  if (Error || !Root.is_object())
    return SessionError{0, SessionErrorCode::InvalidJson, {}};
  const json::object &Members = Root.get_object();
  const auto *Document = Members.if_contains("document");
  const auto *Instances = Members.if_contains("instances");
  EnvironmentSetup Setup;
  Setup.Self_ = framework::InstanceName(
      JsonObjectReader(Members).text("self").value_or(""));
  if (!Document || !Instances || !Instances->is_array())
    return invalidEnvironment(Document ? "instances" : "document");
  Setup.Document_ = json::serialize(*Document);
  if (!document::parseDocument(Setup.Document_))
    return invalidEnvironment("document");
  for (const json::value &Entry : Instances->get_array()) {
    const auto Instance = parseInstance(Entry);
    if (!Instance)
      return invalidEnvironment("instances");
    if (Instance->Name_ == Setup.Self_) {
      Setup.Zone_ = Instance->Zone_;
      Setup.PeerAddress_ = Instance->Address_;
    }
    Setup.Instances_.push_back(*Instance);
  }
  if (Setup.PeerAddress_.empty())
    return invalidEnvironment("self");
  return Setup;
}

} // namespace cranberryspool::session
