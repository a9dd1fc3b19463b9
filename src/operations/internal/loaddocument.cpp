#include "operations/internal/loaddocument.h"

#include "document/parsedocument.h"
#include "operations/internal/readtextfile.h"
#include "operations/types/console.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;

void writeFaultsAsText(const std::string &Path,
                       const document::DocumentFaults &Faults,
                       std::ostream &Error) {
  for (const document::DocumentFault &Each : Faults)
    Error << Path << ": " << document::formatFault(Each) << '\n';
  Error << Path << ": refused, " << Faults.size()
        << (Faults.size() == 1 ? " fault\n" : " faults\n");
}

void writeFaultsAsJson(const std::string &Path,
                       const document::DocumentFaults &Faults,
                       std::ostream &Error) {
  json::array List;
  for (const document::DocumentFault &Each : Faults) {
    const std::string_view Kind = document::faultKindName(Each.Kind_);
    List.push_back({{"kind", json::string(Kind.data(), Kind.size())},
                    {"pointer", json::string(Each.Pointer_)},
                    {"line", Each.Line_},
                    {"column", Each.Column_},
                    {"expected", json::string(Each.Expected_)},
                    {"found", json::string(Each.Found_)}});
  }
  Error << json::serialize(json::object{{"document", json::string(Path)},
                                        {"accepted", false},
                                        {"faults", std::move(List)}})
        << '\n';
}

} // namespace

framework::Result<document::EnvironmentDocument, ExitCode>
loadDocument(const std::string &Path, const Console &Streams) {
  const auto Text = readTextFile(Path);
  if (!Text) {
    Streams.Error_ << Path << ": " << readFailureText(Text.error()) << '\n';
    return framework::failure(ExitCode::BadInput);
  }
  auto Parsed = document::parseDocument(Text.value());
  if (Parsed)
    return std::move(Parsed).value();
  if (Streams.Format_ == OutputFormat::Json)
    writeFaultsAsJson(Path, Parsed.error(), Streams.Error_);
  else
    writeFaultsAsText(Path, Parsed.error(), Streams.Error_);
  return framework::failure(ExitCode::NegativeResult);
}

} // namespace cranberryspool::operations
