package rosespread.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Takes signals. The JDK's only way is sun.misc.Signal, which the compiler warns of wherever it is
 * named; it is reached by reflection here, so that warnings stay errors everywhere.
 */
final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs {@code then} on a thread of its own at each signal of this name, such as HUP. False if
     * the signal was ignored as the process was started: the JVM keeps it so.
     */
    static boolean handle(String name, Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object taker =
                    Proxy.newProxyInstance(
                            SignalHandlers.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) ->
                                    switch (method.getName()) {
                                        case "handle" -> {
                                            then.run();
                                            yield null;
                                        }
                                        case "equals" -> self == arguments[0];
                                        case "hashCode" -> System.identityHashCode(self);
                                        default -> "handler of " + name;
                                    });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance(name),
                                    taker);
            return !handler.getField("SIG_IGN").get(null).equals(before);
        } catch (ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException told ? told.getCause() : e;
            throw new IllegalStateException("SIG" + name + " can't be taken: " + cause, cause);
        }
    }
}
