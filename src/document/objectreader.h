#ifndef CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H
#define CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H

#include "document/faultcollector.h"
#include "document/types/enumentry.h"
#include "document/types/foundvalues.h"
#include "document/types/jsonlocation.h"
#include "document/types/jsontree.h"
#include "document/types/range.h"
#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// Reads the members of one JSON object by key and reports invalid, missing and
/// unknown members. After a fault the reading functions return a placeholder
/// value, so that the caller can go on and find further faults. The reader
/// keeps views of the requested keys, which must outlive it.
class ObjectReader {
public:
  ObjectReader(const JsonTree &Tree, JsonLocation Location,
               FaultCollector &Faults, FoundValues Shown = FoundValues::Shown);

  /// Returns false when the value is not an object. The constructor has then
  /// reported that fault, and no read reports another one for a missing key.
  bool isObject() const { return Members_ != nullptr; }

  /// Returns whether the object has the key, which `finish` then accepts as
  /// known.
  bool has(std::string_view Key) { return find(Key) != nullptr; }

  /// Reads a required integer in the range.
  std::uint32_t number(std::string_view Key, Range<std::uint32_t> Allowed);
  /// Reads a required number in the range that has at most three decimal
  /// places.
  double decimal(std::string_view Key, Range<std::uint32_t> Allowed);
  /// Reads a required duration with its unit, such as `"50ms"`, in the range.
  framework::Duration duration(std::string_view Key,
                               Range<framework::Duration> Allowed);
  /// Reads a required percentage, above 0 % and below 100 %, and returns it in
  /// parts per million.
  std::uint32_t share(std::string_view Key);
  /// Reads a required name of lower-case letters, digits and hyphens that
  /// neither begins nor ends with a hyphen.
  std::string name(std::string_view Key);
  /// Reads a required string; returns nothing after a fault.
  std::optional<std::string> text(std::string_view Key);
  /// Reads a boolean, which is required unless a default is given.
  bool flag(std::string_view Key, std::optional<bool> Default);
  /// Reads an optional enumeration value by its name.
  template <typename Value>
  Value enumValue(std::string_view Key,
                  const std::vector<EnumEntry<Value>> &Entries, Value Default);
  /// Reads an array whose length must be in the range, and returns the
  /// locations of its elements. The key is optional when the range allows an
  /// empty array.
  std::vector<JsonLocation> list(std::string_view Key,
                                 Range<std::size_t> AllowedCount);
  /// Returns the location of a required value, to be read by another reader.
  std::optional<JsonLocation> object(std::string_view Key);

  /// Reports the keys that were never requested, and duplicate keys.
  void finish();

  /// Reports a fault at the value of a key, or at the object when it lacks the
  /// key.
  void report(std::string_view Key, FaultKind Kind, std::string Expected);

private:
  const JsonTree::Member *find(std::string_view Key);
  const JsonTree::Member *require(std::string_view Key);
  std::string pointerTo(std::string_view Key) const;
  std::string requestedKeysText() const;
  void reportMember(const JsonTree::Member &Member, FaultKind Kind,
                    std::string Expected);
  const std::string *stringValue(const JsonTree::Member &Member) const;
  /// Describes a value or a key for a fault; empty where they are not shown.
  std::string foundText(const JsonTree::Content &Content) const;
  std::string foundKey(const std::string &Key, std::string_view Suffix) const;
  std::string pointerToUnexpected(const std::string &Key) const;
  /// Reads a required string. `Expected` returns the description for a fault
  /// and is called only when there is one.
  template <typename Description>
  const std::string *requireString(std::string_view Key,
                                   const Description &Expected);

  const JsonTree &Tree_;
  JsonLocation Location_;
  FaultCollector &Faults_;
  FoundValues Shown_;
  const JsonTree::Object *Members_ = nullptr;
  std::vector<std::string_view> RequestedKeys_;
};

template <typename Value>
Value ObjectReader::enumValue(std::string_view Key,
                              const std::vector<EnumEntry<Value>> &Entries,
                              Value Default) {
  const JsonTree::Member *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const std::string *Text = stringValue(*Found);
  std::string Expected;
  for (const EnumEntry<Value> &Each : Entries) {
    if (Text != nullptr && Each.Name_ == *Text)
      return Each.Value_;
    Expected += Expected.empty() ? "\"" : " or \"";
    Expected += std::string(Each.Name_) + "\"";
  }
  reportMember(*Found,
               Text == nullptr ? FaultKind::WrongType : FaultKind::UnknownWord,
               Expected);
  return Default;
}

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H
