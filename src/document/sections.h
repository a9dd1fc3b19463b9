#ifndef CRANBERRYSPOOL_DOCUMENT_SECTIONS_H
#define CRANBERRYSPOOL_DOCUMENT_SECTIONS_H

#include "document/types/documentsection.h"
#include "framework/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

struct EnvironmentDocument;

/// Returns the sections of a document that `parseDocument` accepted, sorted by
/// name. Equal documents give equal sections on every instance.
std::vector<DocumentSection> splitDocument(const EnvironmentDocument &Document);

/// Joins the sections of one document to a text that `parseDocument` reads to
/// the same value. The text of sections from elsewhere may be malformed; then
/// so is the result.
std::string joinSections(const std::vector<DocumentSection> &Sections);

/// Returns the digest of the whole document over its section digests. It
/// identifies what is in force, so an instance that got the document by
/// sections can compute it too; a changed comment does not change it.
framework::Digest documentDigest(const EnvironmentDocument &Document);

/// Returns the same digest from sections whose digests are right.
framework::Digest
digestOfSections(const std::vector<DocumentSection> &Sections);

/// Returns the digest of a section's text (XXH3, 64 bits).
framework::Digest sectionDigest(std::string_view Text);

/// Writes a digest as tools print it: 16 hexadecimal digits.
std::string digestText(framework::Digest Value);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_SECTIONS_H
