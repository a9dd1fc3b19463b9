#include "operations/diffcommand.h"

#include "document/sections.h"
#include "operations/diffdocuments.h"
#include "operations/internal/loaddocument.h"
#include "operations/types/console.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <ostream>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;

json::string toJsonString(std::string_view Text) {
  return json::string(Text.data(), Text.size());
}

void writeValues(const DocumentChange &Change, std::ostream &Out) {
  if (Change.Before_.empty())
    Out << "added, " << Change.After_;
  else if (Change.After_.empty())
    Out << "removed, was " << Change.Before_;
  else
    Out << Change.Property_ << ' ' << Change.Before_ << " -> " << Change.After_;
}

void writeText(const std::vector<DocumentChange> &Changes, std::ostream &Out) {
  std::optional<ChangeCategory> CurrentCategory;
  for (const DocumentChange &Each : Changes) {
    if (CurrentCategory != Each.Category_)
      Out << categoryName(Each.Category_) << ":\n";
    CurrentCategory = Each.Category_;
    Out << "  " << Each.Subject_ << ": ";
    writeValues(Each, Out);
    if (Each.Effect_ != ChangeEffect::None)
      Out << " (" << effectText(Each.Effect_) << ')';
    Out << '\n';
  }
}

json::array changesToJson(const std::vector<DocumentChange> &Changes) {
  json::array List;
  for (const DocumentChange &Each : Changes)
    List.push_back({{"concern", toJsonString(categoryName(Each.Category_))},
                    {"subject", toJsonString(Each.Subject_)},
                    {"property", toJsonString(Each.Property_)},
                    {"before", toJsonString(Each.Before_)},
                    {"after", toJsonString(Each.After_)},
                    {"effect", toJsonString(effectText(Each.Effect_))}});
  return List;
}

} // namespace

ExitCode diffCommand(const std::string &OldPath, const std::string &NewPath,
                     const Console &Streams) {
  const auto Old = loadDocument(OldPath, Streams);
  const auto New = loadDocument(NewPath, Streams);
  if (!Old || !New)
    return ExitCode::BadInput;
  const std::string OldDigest =
      document::digestText(document::documentDigest(Old.value()));
  const std::string NewDigest =
      document::digestText(document::documentDigest(New.value()));
  const auto Changes = diffDocuments(Old.value(), New.value());
  if (Streams.Format_ == OutputFormat::Json) {
    Streams.Out_ << json::serialize(
                        json::object{{"old-digest", toJsonString(OldDigest)},
                                     {"new-digest", toJsonString(NewDigest)},
                                     {"changes", changesToJson(Changes)}})
                 << '\n';
  } else {
    Streams.Out_ << "digest " << OldDigest << " -> " << NewDigest << ", "
                 << Changes.size()
                 << (Changes.size() == 1 ? " change\n" : " changes\n");
    writeText(Changes, Streams.Out_);
  }
  return Changes.empty() ? ExitCode::Success : ExitCode::NegativeResult;
}

} // namespace cranberryspool::operations
