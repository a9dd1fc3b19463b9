#include "operations/checkcommand.h"

#include "document/sections.h"
#include "framework/units.h"
#include "operations/internal/loaddocument.h"
#include "operations/internal/quotatext.h"
#include "operations/types/console.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;
using document::EnvironmentDocument;
using document::RequestKind;
using document::Service;
using document::Urgency;
using document::Workspace;
using document::Zone;
using document::ZoneState;

void writeRequestKind(const RequestKind &Kind, std::ostream &Out) {
  Out << "    " << Kind.Method_ << ' ' << Kind.PathPattern_ << ": "
      << (Kind.Urgency_ == Urgency::Urgent ? "urgent" : "ordinary") << ", "
      << (Kind.IsIdempotent_ ? "idempotent" : "at most once") << ", deadline "
      << framework::durationText(Kind.Deadline_)
      << (Kind.IsHedgingAllowed_ ? ", hedging" : "")
      << (Kind.IsAnonymousAllowed_ ? ", open without a key" : "") << '\n';
}

void writeService(const Service &Each, std::ostream &Out) {
  Out << "  " << Each.Name_.value() << ": " << Each.Groups_.size()
      << " groups, " << Each.SlotsPerTarget_ << " slots and "
      << Each.ConnectionsPerTarget_ << " connections a target, "
      << Each.ProbesPerTargetPerMinute_ << " probes a minute, cold start "
      << Each.ColdStart_.MaxInFlight_ << " in flight for "
      << framework::durationText(Each.ColdStart_.Warmup_) << '\n';
  for (const RequestKind &Kind : Each.Kinds_)
    writeRequestKind(Kind, Out);
}

void writeWorkspaces(const EnvironmentDocument &Document, std::ostream &Out) {
  if (Document.Workspaces_.empty())
    return;
  Out << "workspaces:\n";
  for (const Workspace &Each : Document.Workspaces_) {
    Out << "  " << Each.Name_.value() << ": " << Each.KeyDigests_.size()
        << (Each.KeyDigests_.size() == 1 ? " key" : " keys");
    if (Each.Priority_)
      Out << ", priority " << *Each.Priority_;
    Out << ", quota " << quotaText(Each.Quota_) << '\n';
  }
}

void writeText(const std::string &Path, const EnvironmentDocument &Document,
               std::ostream &Out) {
  Out << Path << ": accepted, digest "
      << document::digestText(document::documentDigest(Document)) << '\n';
  Out << "zones:";
  for (const Zone &Each : Document.Zones_)
    Out << ' ' << Each.Name_.value()
        << (Each.State_ == ZoneState::InService ? " in" : " out");
  Out << "\nservices:\n";
  for (const Service &Each : Document.Services_)
    writeService(Each, Out);
  writeWorkspaces(Document, Out);
}

void writeJson(const std::string &Path, const EnvironmentDocument &Document,
               std::ostream &Out) {
  json::array Sections;
  for (const auto &Each : document::splitDocument(Document))
    Sections.push_back(
        {{"name", json::string(Each.Name_)},
         {"digest", json::string(document::digestText(Each.Digest_))}});
  const std::string Digest =
      document::digestText(document::documentDigest(Document));
  Out << json::serialize(json::object{{"document", json::string(Path)},
                                      {"accepted", true},
                                      {"digest", json::string(Digest)},
                                      {"sections", std::move(Sections)}})
      << '\n';
}

} // namespace

ExitCode checkCommand(const std::string &Path, const Console &Streams) {
  const auto Document = loadDocument(Path, Streams);
  if (!Document)
    return Document.error();
  if (Streams.Format_ == OutputFormat::Json)
    writeJson(Path, Document.value(), Streams.Out_);
  else
    writeText(Path, Document.value(), Streams.Out_);
  return ExitCode::Success;
}

} // namespace cranberryspool::operations
