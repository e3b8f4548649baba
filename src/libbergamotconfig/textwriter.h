#ifndef BERGAMOT_LIBBERGAMOTCONFIG_TEXTWRITER_H
#define BERGAMOT_LIBBERGAMOTCONFIG_TEXTWRITER_H

#include "libbergamotconfig/jsonfields.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bergamot::config {

/// Writes the canonical JSON text of typed values: members sorted by name, no
/// white space, lists of objects with a strong id in the order of the ids. It
/// builds no tree, which would take several times the memory of the text.
class TextWriter {
public:
  /// Returns the text of a value. Throws Error if a string isn't UTF-8.
  template <typename T> static std::string valueText(const T &value);

  /// Takes one member; called by visitFields().
  template <typename T> void operator()(const char *name, const T &value) {
    Members.emplace_back(name, valueText(value));
  }

  /// Takes one member unless it is empty, which keeps change records small.
  template <typename T> void optional(const char *name, const T &value) {
    if (!detail::isEmpty(value))
      (*this)(name, value);
  }

private:
  template <typename T> static std::string listText(const std::vector<T> &list);
  static std::string quoted(const std::string &text);
  std::string takeText();

  std::vector<std::pair<std::string_view, std::string>> Members;
};

template <typename T> std::string TextWriter::valueText(const T &value) {
  if constexpr (std::is_same_v<T, bool>) {
    return value ? "true" : "false";
  } else if constexpr (std::is_unsigned_v<T>) {
    return std::to_string(value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return quoted(value);
  } else if constexpr (std::is_enum_v<T>) {
    return quoted(EnumNames<T>::Names[static_cast<std::size_t>(value)]);
  } else if constexpr (detail::IsStrongId<T>::value) {
    return valueText(value.Value);
  } else if constexpr (detail::IsDuration<T>::value) {
    return std::to_string(static_cast<std::uint64_t>(value.count()));
  } else if constexpr (detail::IsOptional<T>::value) {
    return valueText(*value);
  } else if constexpr (detail::IsVector<T>::value) {
    return listText(value);
  } else {
    TextWriter writer;
    visitFields(writer, value);
    return writer.takeText();
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
    text += valueText(*element);
  }
  text += ']';
  return text;
}

} // namespace bergamot::config

#endif
