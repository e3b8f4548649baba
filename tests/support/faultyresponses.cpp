#include "support/faultyresponses.h"

namespace bergamot::testsupport {

namespace {

using namespace std::string_literals;

const std::string SoundStatusLine = "HTTP/1.1 200 OK\r\n";

std::vector<FaultyHead> headsWithFaultyStatusLine() {
  return {
      {"a status of 000", "HTTP/1.1 000 X\r\n", ""},
      {"a status of 099", "HTTP/1.1 099 X\r\n", ""},
      {"a status of 600", "HTTP/1.1 600 X\r\n", ""},
      {"a status of 999", "HTTP/1.1 999 X\r\n", ""},
      {"a status of two digits", "HTTP/1.1 20 X\r\n", ""},
      {"a status of four digits", "HTTP/1.1 0200 X\r\n", ""},
      {"a status that is no number", "HTTP/1.1 2xx X\r\n", ""},
      {"two blanks before the status", "HTTP/1.1  200 X\r\n", ""},
      {"a reason right after the status", "HTTP/1.1 200X\r\n", ""},
      {"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", ""},
      {"a NUL in the reason", "HTTP/1.1 200 O\0K\r\n"s, ""},
      {"a carriage return in the reason", "HTTP/1.1 200 O\rK\r\n", ""},
      {"a status line that ends with a carriage return", "HTTP/1.1 200 OK\rX",
       ""},
      {"a status line that ends with a line feed", "HTTP/1.1 200 OK\n", ""},
      {"an empty line before the status line", "\r\nHTTP/1.1 200 OK\r\n", ""},
      {"another version", "HTTP/2.0 200 OK\r\n", ""},
      {"no version", "200 OK\r\n", ""},
      {"another protocol", "HTTP/1.1 101 X\r\n",
       "Upgrade: x\r\nConnection: Upgrade\r\n"},
      {"another protocol without its name", "HTTP/1.1 101 X\r\n", ""}};
}

std::vector<FaultyHead> headsWithFaultyField() {
  const std::vector<std::pair<std::string, std::string>> lines = {
      {"a blank in a name", "X Y: z\r\n"},
      {"a blank after a name", "X-Y : z\r\n"},
      {"a blank before the first name", " X-Y: z\r\n"},
      {"a tab before the first name", "\tX-Y: z\r\n"},
      {"a tab in a name", "X\tY: z\r\n"},
      {"a control byte in a name", "X\x01Y: z\r\n"},
      {"a NUL in a name", "X\0Y: z\r\n"s},
      {"a delete byte in a name", "X\x7fY: z\r\n"},
      {"a byte in a name that isn't ASCII", "X\xe4Y: z\r\n"},
      {"a parenthesis in a name", "X(Y: z\r\n"},
      {"no name", ": z\r\n"},
      {"a line without a colon", "X-Y\r\n"},
      {"a blank before a later name", "X-A: b\r\n X-Y: z\r\n"},
      {"a tab before a later name", "X-A: b\r\n\tX-Y: z\r\n"},
      {"a folded length", "X-A: b\r\n Content-Length: 2\r\n"},
      {"a control byte in a value", "X-Y: a\x01z\r\n"},
      {"a NUL in a value", "X-Y: a\0z\r\n"s},
      {"a carriage return in a value", "X-Y: a\rz\r\n"},
      {"a line feed in a value", "X-Y: a\nz\r\n"},
      {"a delete byte in a value", "X-Y: a\x7fz\r\n"}};
  std::vector<FaultyHead> heads;
  heads.reserve(lines.size());
  for (const auto &[flaw, line] : lines)
    heads.push_back({flaw, SoundStatusLine, line});
  return heads;
}

} // namespace

std::vector<FaultyHead> faultyHeads() {
  std::vector<FaultyHead> heads = headsWithFaultyStatusLine();
  for (const FaultyHead &it : headsWithFaultyField())
    heads.push_back(it);
  return heads;
}

std::vector<SoundHead> soundHeads() {
  return {{"HTTP/1.1 200 \r\n", 200},
          {"HTTP/1.0 200 OK\r\n", 200},
          {"HTTP/1.1 599 \xe4\tb\r\n", 599},
          {"HTTP/1.1 299 OK\r\n", 299},
          {"HTTP/1.1 200 OK\r\nX-Y:\r\n", 200},
          {"HTTP/1.1 200 OK\r\nX-Y: \t a\tb \xe4:c\r\n", 200},
          {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n", 200}};
}

std::vector<std::string> faultyChunkedBodies() {
  return {"4\r\nbodyXX0\r\n\r\n",
          "4\r\nbody\r\r0\r\n\r\n",
          "4\rXbody\r\n0\r\n\r\n",
          "4\nbody\r\n0\r\n\r\n",
          "4 \r\nbody\r\n0\r\n\r\n",
          "4 x\r\nbody\r\n0\r\n\r\n",
          " 4\r\nbody\r\n0\r\n\r\n",
          "4;a=\x01\r\nbody\r\n0\r\n\r\n",
          "\r\n4\r\nbody\r\n0\r\n\r\n",
          ";a\r\nbody\r\n0\r\n\r\n",
          "10000000000000004\r\nbody\r\n0\r\n\r\n",
          "4\r\nbody\r\n0\rX\r\n",
          "4\r\nbody\r\n0\r\n\rX",
          "4\r\nbody\r\n0\r\nA: c\n\r\n",
          "4\r\nbody\r\n0\r\nA b: c\r\n\r\n",
          "4\r\nbody\r\n0\r\n A: c\r\n\r\n"};
}

std::vector<std::string> soundChunkedBodies() {
  return {"4\r\nbody\r\n0\r\n\r\n", "0004\r\nbody\r\n000\r\n\r\n",
          "4;a=b;c\r\nbody\r\n0;d\r\n\r\n", "4 ;a\r\nbody\r\n0\r\nA: c\r\n\r\n",
          "1\r\nb\r\n3\r\nody\r\n0\r\nA: c\r\nB:\r\n\r\n"};
}

} // namespace bergamot::testsupport
