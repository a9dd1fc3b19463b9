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

/// Joins the sections of one document into a text that `parseDocument` parses
/// to an equal document. If the text of a section is malformed, which is
/// possible for sections received from peers, so is the result.
std::string joinSections(const std::vector<DocumentSection> &Sections);

/// Returns the digest of a document, computed from the digests of its sections.
/// It identifies the document in force: an instance that received the document
/// section by section computes the same digest, and comments do not affect it.
framework::Digest documentDigest(const EnvironmentDocument &Document);

/// Returns the same digest as `documentDigest`, computed from the sections.
/// Their digests are not verified.
framework::Digest
digestOfSections(const std::vector<DocumentSection> &Sections);

/// Returns the 64-bit XXH3 hash of a section's text.
framework::Digest sectionDigest(std::string_view Text);

/// Returns a digest as 16 hexadecimal digits, the form that tools print.
std::string digestText(framework::Digest Value);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_SECTIONS_H
