package rosespread.admin;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import rosespread.http.HttpMessage;

/** The routing table, which maps a request's path to a resource. Immutable. */
final class Router implements Resource {
    /**
     * A path and its resource.
     *
     * @param coversSubpaths whether the resource also answers every path that starts with this one
     */
    record Route(String path, boolean coversSubpaths, Resource resource) {
        static Route exact(String path, Resource resource) {
            return new Route(path, false, resource);
        }

        static Route prefix(String path, Resource resource) {
            return new Route(path, true, resource);
        }

        boolean matches(String requestedPath) {
            return coversSubpaths ? requestedPath.startsWith(path) : requestedPath.equals(path);
        }
    }

    private final List<Route> routes;

    /**
     * @param routes the routes; the first match is used
     */
    Router(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    @Override
    public HttpMessage.Response handle(AdminRequest request) throws IOException {
        for (Route route : routes) {
            if (route.matches(request.path())) {
                return route.resource().handle(request);
            }
        }
        String knownPaths = routes.stream().map(Route::path).collect(Collectors.joining(", "));
        return ProblemDetails.of(
                404, "unknown path " + request.path() + "; known paths are " + knownPaths);
    }
}
