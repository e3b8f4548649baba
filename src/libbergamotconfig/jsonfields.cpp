#include "libbergamotconfig/jsonfields.h"

#include "libbergamotbase/error.h"
#include "libbergamotconfig/configuration.h"

#include <set>

namespace bergamot::config {

namespace {

constexpr int MaximumDepth = 16;

/// Rejects deep nesting and duplicate members while the parser runs. A
/// duplicate member would let two readers see different values.
class StructureCheck {
public:
  bool check(int depth, Json::parse_event_t event, const Json &parsed) {
    using Event = Json::parse_event_t;
    if (depth > MaximumDepth)
      throw base::Error(base::Step::Parse, "", "nested too deeply");
    if (event == Event::object_start) {
      Members.emplace_back();
    } else if (event == Event::object_end) {
      Members.pop_back();
    } else if (event == Event::key &&
               !Members.back().insert(parsed.get<std::string>()).second) {
      throw base::Error(base::Step::Parse, "",
                        "duplicate member '" + parsed.get<std::string>() + "'");
    }
    return true;
  }

private:
  std::vector<std::set<std::string>> Members;
};

} // namespace

Json parseJson(std::string_view text) {
  if (text.size() > MaximumDocumentBytes)
    throw base::Error(base::Step::Parse, "", "document is too large");
  StructureCheck structure;
  try {
    return Json::parse(text,
                       [&](int depth, Json::parse_event_t event, Json &parsed) {
                         return structure.check(depth, event, parsed);
                       });
  } catch (const Json::exception &e) {
    throw base::Error(base::Step::Parse, "", e.what());
  }
}

std::string dumpJson(const Json &json, int indent) {
  try {
    return json.dump(indent);
  } catch (const Json::exception &e) {
    throw base::Error(base::Step::Parse, "", e.what());
  }
}

std::string detail::TextWriter::takeText() {
  std::size_t size = 2;
  for (const auto &[name, member] : Members)
    size += name.size() + member.size() + 4;
  std::string text = "{";
  text.reserve(size);
  for (auto &[name, member] : Members) {
    if (text.size() > 1)
      text += ',';
    text += Json(name).dump();
    text += ':';
    text += member;
    member = {};
  }
  text += '}';
  return text;
}

std::string pointerToken(std::string_view name) {
  std::string token;
  for (const char c : name) {
    if (c == '~')
      token += "~0";
    else if (c == '/')
      token += "~1";
    else
      token += c;
  }
  return token;
}

std::string problemText(const std::vector<Problem> &problems) {
  std::string text;
  for (const Problem &problem : problems) {
    if (!text.empty())
      text += '\n';
    text += problem.Path.empty() ? "/" : problem.Path;
    text += ": " + problem.Message;
  }
  return text;
}

} // namespace bergamot::config
