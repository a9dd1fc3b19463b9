#ifndef CRANBERRYSPOOL_DOCUMENT_TESTS_READFILE_H
#define CRANBERRYSPOOL_DOCUMENT_TESTS_READFILE_H

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace cranberryspool::document {

/// Returns the content of a file, whose path is relative to the root of the
/// source tree. The test fails if the file cannot be opened.
inline std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  REQUIRE(File);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TESTS_READFILE_H
