#include "core/chart/chart_parser.h"

#include <toml++/toml.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using Names = std::set<std::string, std::less<>>;

[[noreturn]] void Fail(const toml::node& node, const std::string& message) {
  throw ParseError({node.source().begin.line, node.source().begin.column},
                   message);
}

const toml::node& Require(const toml::table& table, std::string_view key) {
  const toml::node* node = table.get(key);
  if (node == nullptr) {
    Fail(table, error_messages::kMissingField + std::string(key));
  }
  return *node;
}

std::string TextOf(const toml::node& node, std::string_view key) {
  const auto text = node.value<std::string>();
  if (!text) Fail(node, error_messages::kMissingField + std::string(key));
  return *text;
}

Names NamesOf(const toml::table& table, std::string_view key) {
  const toml::node& node = Require(table, key);
  const toml::array* array = node.as_array();
  if (array == nullptr) {
    Fail(node, error_messages::kMissingField + std::string(key));
  }
  Names names;
  for (const toml::node& name : *array) names.insert(TextOf(name, key));
  return names;
}

toml::table ParseToml(std::string_view text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw ParseError({error.source().begin.line, error.source().begin.column},
                     std::string(error.description()));
  }
}

}  // namespace

StateChart ChartParser::Parse(std::string_view text) {
  const toml::table root = ParseToml(text);
  const toml::node& initial_node = Require(root, "initial");
  std::string initial = TextOf(initial_node, "initial");
  Names finals = NamesOf(root, "final");
  const Names events = NamesOf(root, "events");
  const toml::node& states_node = Require(root, "states");
  const toml::table* tables = states_node.as_table();
  if (tables == nullptr) {
    Fail(states_node, std::string(error_messages::kMissingField) + "states");
  }

  std::map<std::string, StateChart::Transitions, std::less<>> states;
  for (const auto& [name, node] : *tables) {
    const std::string state(name.str());
    const toml::table* table = node.as_table();
    if (table == nullptr) Fail(node, error_messages::kMissingField + state);
    StateChart::Transitions& transitions = states[state];
    for (const auto& [key, target] : *table) {
      const std::string event(key.str());
      if (!events.contains(event)) {
        Fail(target, error_messages::kUndeclaredEvent + event);
      }
      std::string to = TextOf(target, event);
      if (!tables->contains(to)) {
        Fail(target, error_messages::kUndeclaredState + to);
      }
      transitions.emplace(event, std::move(to));
    }
    if (transitions.empty() && !finals.contains(state)) {
      Fail(node, error_messages::kStateWithoutExit + state);
    }
  }
  for (const std::string& state : finals) {
    if (!states.contains(state)) {
      Fail(root, error_messages::kUndeclaredState + state);
    }
  }
  if (!states.contains(initial)) {
    Fail(initial_node, error_messages::kUndeclaredState + initial);
  }

  Names reachable = {initial};
  std::vector<std::string> unvisited = {initial};
  while (!unvisited.empty()) {
    const std::string state = std::move(unvisited.back());
    unvisited.pop_back();
    for (const auto& [event, target] : states[state]) {
      if (reachable.insert(target).second) unvisited.push_back(target);
    }
  }
  for (const auto& [state, transitions] : states) {
    if (!reachable.contains(state)) {
      Fail(*tables->get(state), error_messages::kUnreachableState + state);
    }
  }
  return StateChart(std::move(initial), std::move(finals), std::move(states));
}

}  // namespace carawayhaven
