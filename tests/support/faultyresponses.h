#ifndef BERGAMOT_TESTS_SUPPORT_FAULTYRESPONSES_H
#define BERGAMOT_TESTS_SUPPORT_FAULTYRESPONSES_H

#include <string>
#include <vector>

namespace bergamot::testsupport {

/// The beginning of a response that HTTP doesn't allow, or not as the response
/// to a request that asks for no other protocol. Further fields, an empty line
/// and a body may follow it.
struct FaultyHead {
  std::string Flaw;
  /// With its line ending.
  std::string StatusLine;
  /// Lines with their endings.
  std::string FieldLines;

  std::string text() const { return StatusLine + FieldLines; }
};

/// Returns one head for each flaw.
std::vector<FaultyHead> faultyHeads();

/// The beginning of a response that HTTP allows but that is unusual.
struct SoundHead {
  std::string Text;
  int Status = 0;
};

std::vector<SoundHead> soundHeads();

/// Returns bodies in the chunked coding, with a flaw each.
std::vector<std::string> faultyChunkedBodies();

/// Returns bodies in the chunked coding whose content is "body".
std::vector<std::string> soundChunkedBodies();

} // namespace bergamot::testsupport

#endif
