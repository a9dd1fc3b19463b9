#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_JSONTREEBUILDER_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_JSONTREEBUILDER_H

#include "document/types/jsontree.h"

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// Builds a `JsonTree` from the events of `boost::json::basic_parser`.
///
/// The parser does not report positions. They are derived here, provided that
/// the text is passed to the parser byte by byte and `setOffset` is called for
/// each byte: a token starts at the first byte after the previous token that is
/// neither whitespace nor a separator.
class JsonTreeBuilder {
public:
  /// `Text` must not contain comments and must outlive the builder. Without
  /// `RecordsOffsets` all offsets are 0.
  JsonTreeBuilder(std::string_view Text, bool RecordsOffsets);

  /// Sets the offset of the byte that is passed to the parser next.
  void setOffset(std::size_t Offset) { Offset_ = Offset; }

  /// Moves the tree out of the builder.
  JsonTree takeTree() { return std::move(Tree_); }

  // The names and signatures that basic_parser requires of a handler.
  // NOLINTBEGIN(readability-identifier-naming)
  using ErrorCode = boost::json::error_code;
  using View = boost::json::string_view;
  static constexpr std::size_t max_object_size = 100'000;
  static constexpr std::size_t max_array_size = 100'000;
  static constexpr std::size_t max_key_size = 1'000'000;
  static constexpr std::size_t max_string_size = 1'000'000;
  bool on_document_begin(ErrorCode &) { return true; }
  bool on_document_end(ErrorCode &) { return true; }
  bool on_object_begin(ErrorCode &);
  bool on_object_end(std::size_t, ErrorCode &);
  bool on_array_begin(ErrorCode &);
  bool on_array_end(std::size_t, ErrorCode &);
  bool on_key_part(View Part, std::size_t, ErrorCode &);
  bool on_key(View Part, std::size_t, ErrorCode &);
  bool on_string_part(View Part, std::size_t, ErrorCode &);
  bool on_string(View Part, std::size_t, ErrorCode &);
  bool on_number_part(View, ErrorCode &) { return true; }
  bool on_int64(std::int64_t Value, View, ErrorCode &);
  bool on_uint64(std::uint64_t Value, View, ErrorCode &);
  bool on_double(double Value, View, ErrorCode &);
  bool on_bool(bool Value, ErrorCode &);
  bool on_null(ErrorCode &);
  bool on_comment_part(View, ErrorCode &) { return true; }
  bool on_comment(View, ErrorCode &) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  /// Returns the offset at which the current token starts.
  std::size_t tokenStart() const;
  /// Adds a value to the tree and to the innermost open array or object.
  JsonNodeId addValue(JsonTree::Content Content);
  bool openContainer(JsonTree::Content Content);
  bool closeContainer();
  bool addScalar(JsonTree::Content Content, std::size_t End);

  std::string_view Text_;
  bool RecordsOffsets_;
  std::size_t Offset_ = 0;
  std::size_t PreviousTokenEnd_ = 0;
  std::size_t KeyOffset_ = 0;
  std::string PartialText_;
  std::string Key_;
  std::vector<JsonNodeId> OpenContainers_;
  JsonTree Tree_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_JSONTREEBUILDER_H
