#pragma once

/// Finds the route and the client account of a request in the settings in force.

#include "core/ServingSettings.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace limpetpond {

/// Text keys that are looked up by view.
struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
};
template <typename Value>
using TextMap = boost::unordered_flat_map<std::string, Value, TextHash, std::equal_to<>>;

/// One version of the settings and the indexes over it; never changed once made.
struct IndexedSettings {
    ServingSettings settings;
    TextMap<TextMap<std::size_t>> routesByHost; ///< Host, then prefix, to the route's position.
    TextMap<std::size_t> accountsByKey;
};

/// Builds the indexes.
///
///     std::shared_ptr<const IndexedSettings> settings = indexSettings(decoded);
///     const RouteSettings* route = findRoute(*settings, "example", "/a/b");
std::shared_ptr<const IndexedSettings> indexSettings(ServingSettings);

/// The route of the host whose prefix is the longest that begins the path; null where none does.
/// The path may carry a query, which isn't compared.
///
///     findRoute(*settings, "example", "/a/b?c=d");
const RouteSettings* findRoute(const IndexedSettings&, std::string_view host, std::string_view path);

/// The account that holds the key; null where none does.
///
///     const AccountSettings* account = findAccount(*settings, key);
const AccountSettings* findAccount(const IndexedSettings&, std::string_view key);

/// Chooses among a route's pools by weight; `random` is any well spread number.
///
///     PoolId pool = choosePool(*route, generator());
const PoolId& choosePool(const RouteSettings&, std::uint64_t random);

/// True where a request of the route may run more than once.
///
///     if (mayRunAgain(*route)) sendAgain();
bool mayRunAgain(const RouteSettings&);

} // namespace limpetpond
