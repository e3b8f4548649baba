#ifndef BERGAMOT_LIBBERGAMOTCONFIG_JSONFIELDS_H
#define BERGAMOT_LIBBERGAMOTCONFIG_JSONFIELDS_H

#include "libbergamotbase/ids.h"
#include "libbergamotconfig/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bergamot::config {

using Json = nlohmann::json;

/// Names of an enumeration's values in JSON, in the order of the values.
/// Specialised next to the field lists.
template <typename T> struct EnumNames;

/// Parses JSON text into a tree. Rejects duplicate members, nesting deeper
/// than 16 levels and texts above the size limit; throws Error (step parse).
Json parseJson(std::string_view text);

/// Returns the text of a tree with sorted members and no white space. Throws
/// Error if a string isn't UTF-8.
std::string dumpJson(const Json &json, int indent = -1);

/// Escapes one member name for a JSON pointer.
std::string pointerToken(std::string_view name);

/// Reads typed values from a JSON tree and collects every problem found.
class JsonReader {
public:
  /// Fills value from json; path is the JSON pointer of json.
  template <typename T>
  void read(const Json &json, T &value, const std::string &path);

  /// The problems found so far.
  std::vector<Problem> Problems;

private:
  template <std::unsigned_integral T>
  void readNumber(const Json &json, T &value, const std::string &path);
  template <typename T>
  void readList(const Json &json, std::vector<T> &list,
                const std::string &path);
  template <typename T>
  void readEnum(const Json &json, T &value, const std::string &path);
  template <typename T>
  void readObject(const Json &json, T &value, const std::string &path);
  void addProblem(const std::string &path, std::string message) {
    Problems.push_back({path, std::move(message)});
  }
};

/// Builds the JSON tree of a typed value.
template <typename T> Json toJson(const T &value);

namespace detail {

template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};
template <typename T> struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};
template <typename T> struct IsStrongId : std::false_type {};
template <typename T, typename Tag>
struct IsStrongId<base::StrongId<T, Tag>> : std::true_type {};

template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};

/// Returns whether an optional member is left out of the text.
template <typename T> bool isEmpty(const T &value) {
  if constexpr (IsOptional<T>::value)
    return !value.has_value();
  else if constexpr (requires { value.empty(); })
    return value.empty();
  else
    return false;
}

/// Visits the fields of one object: reads each from JSON and notes which
/// members of the object have been asked for.
struct ObjectReader {
  JsonReader &Reader;
  const Json &Object;
  const std::string &Path;
  std::vector<std::string_view> Known;

  template <typename T> void operator()(const char *name, T &value) {
    Known.emplace_back(name);
    const auto it = Object.find(name);
    if (it == Object.end())
      Reader.Problems.push_back({Path + "/" + name, "is missing"});
    else
      Reader.read(*it, value, Path + "/" + name);
  }

  template <typename T> void optional(const char *name, T &value) {
    Known.emplace_back(name);
    const auto it = Object.find(name);
    if (it != Object.end())
      Reader.read(*it, value, Path + "/" + name);
  }
};

/// Visits the fields of one object and writes each to JSON.
struct ObjectWriter {
  Json Object = Json::object();

  template <typename T> void operator()(const char *name, const T &value) {
    Object[name] = toJson(value);
  }
  /// Leaves out empty lists and objects, which keeps change records small.
  template <typename T> void optional(const char *name, const T &value) {
    if (isEmpty(value))
      return;
    Object[name] = toJson(value);
  }
};

/// Visits the fields of an object and keeps the text of each member. Lists
/// of objects with a strong id are written in the order of the ids, element by
/// element: a tree of the whole document takes several times its text.
struct TextWriter {
  std::map<std::string, std::string> Members;

  template <typename T> void operator()(const char *name, const T &value) {
    Members[name] = valueText(value);
  }
  template <typename T> void optional(const char *name, const T &value) {
    if (isEmpty(value))
      return;
    (*this)(name, value);
  }
  template <typename T> static std::string valueText(const T &value);
  template <typename T> static std::string listText(const std::vector<T> &list);
  /// Returns the text of the object and drops the members.
  std::string takeText();
};

template <typename T> std::string TextWriter::valueText(const T &value) {
  if constexpr (IsVector<T>::value) {
    return listText(value);
  } else if constexpr (IsOptional<T>::value) {
    return valueText(*value);
  } else if constexpr (requires(TextWriter w) { visitFields(w, value); }) {
    TextWriter writer;
    visitFields(writer, value);
    return writer.takeText();
  } else {
    return dumpJson(toJson(value));
  }
}

template <typename T>
std::string TextWriter::listText(const std::vector<T> &list) {
  std::vector<const T *> order;
  order.reserve(list.size());
  for (const T &element : list)
    order.push_back(&element);
  if constexpr (requires(T element) { element.Id.Value; })
    std::stable_sort(order.begin(), order.end(),
                     [](auto *a, auto *b) { return a->Id < b->Id; });
  std::string text = "[";
  for (const T *element : order) {
    if (text.size() > 1)
      text += ',';
    text += dumpJson(toJson(*element));
  }
  text += ']';
  return text;
}

} // namespace detail

template <typename T>
void JsonReader::read(const Json &json, T &value, const std::string &path) {
  if constexpr (std::is_same_v<T, bool>) {
    if (json.is_boolean())
      value = json.get<bool>();
    else
      addProblem(path, "must be true or false");
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (json.is_string())
      value = json.get_ref<const std::string &>();
    else
      addProblem(path, "must be a string");
  } else if constexpr (std::is_same_v<T, Json>) {
    value = json;
  } else if constexpr (std::is_unsigned_v<T>) {
    readNumber(json, value, path);
  } else if constexpr (detail::IsStrongId<T>::value) {
    read(json, value.Value, path);
  } else if constexpr (detail::IsDuration<T>::value) {
    std::uint32_t count = 0;
    readNumber(json, count, path);
    value = T(count);
  } else if constexpr (detail::IsOptional<T>::value) {
    read(json, value.emplace(), path);
  } else if constexpr (detail::IsVector<T>::value) {
    readList(json, value, path);
  } else if constexpr (std::is_enum_v<T>) {
    readEnum(json, value, path);
  } else {
    readObject(json, value, path);
  }
}

template <std::unsigned_integral T>
void JsonReader::readNumber(const Json &json, T &value,
                            const std::string &path) {
  constexpr std::uint64_t Highest = std::numeric_limits<T>::max();
  if (json.is_number_unsigned() && json.get<std::uint64_t>() <= Highest)
    value = json.get<T>();
  else
    addProblem(path,
               "must be a whole number from 0 to " + std::to_string(Highest));
}

template <typename T>
void JsonReader::readList(const Json &json, std::vector<T> &list,
                          const std::string &path) {
  if (!json.is_array())
    return addProblem(path, "must be a list");
  list.clear();
  list.resize(json.size());
  for (std::size_t i = 0; i < list.size(); ++i)
    read(json[i], list[i], path + "/" + std::to_string(i));
}

template <typename T>
void JsonReader::readEnum(const Json &json, T &value, const std::string &path) {
  std::string allowed;
  for (std::size_t i = 0; i < EnumNames<T>::Names.size(); ++i) {
    if (json == EnumNames<T>::Names[i]) {
      value = static_cast<T>(i);
      return;
    }
    allowed += (i ? ", " : "") + std::string(EnumNames<T>::Names[i]);
  }
  addProblem(path, "must be one of: " + allowed);
}

template <typename T>
void JsonReader::readObject(const Json &json, T &value,
                            const std::string &path) {
  if (!json.is_object())
    return addProblem(path, "must be an object");
  detail::ObjectReader fields{*this, json, path, {}};
  visitFields(fields, value);
  for (const auto &[name, member] : json.items())
    if (std::find(fields.Known.begin(), fields.Known.end(), name) ==
        fields.Known.end())
      addProblem(path + "/" + pointerToken(name), "is not a known member");
}

template <typename T> Json toJson(const T &value) {
  if constexpr (detail::IsStrongId<T>::value) {
    return value.Value;
  } else if constexpr (detail::IsDuration<T>::value) {
    return static_cast<std::uint64_t>(value.count());
  } else if constexpr (detail::IsOptional<T>::value) {
    return value ? toJson(*value) : Json();
  } else if constexpr (detail::IsVector<T>::value) {
    Json list = Json::array();
    for (const auto &element : value)
      list.push_back(toJson(element));
    return list;
  } else if constexpr (std::is_enum_v<T>) {
    return EnumNames<T>::Names[static_cast<std::size_t>(value)];
  } else if constexpr (std::is_same_v<T, Json> || std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    return value;
  } else {
    detail::ObjectWriter fields;
    visitFields(fields, value);
    return std::move(fields.Object);
  }
}

} // namespace bergamot::config

#endif
