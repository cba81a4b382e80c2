package rosespread.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The JDK's only way is sun.misc.Signal, which the
 * compiler warns of wherever it is named; it is reached by reflection here, so that warnings stay
 * errors everywhere.
 */
final class SignalHandlers {
    /** Registers handlers, as {@link SignalHandlers#handle} does. */
    @FunctionalInterface
    interface Registrar {
        /** Registers what runs at a signal; false if the process ignores the signal. */
        boolean handle(String signal, Runnable action);
    }

    private SignalHandlers() {}

    /**
     * Runs the action on a thread of its own at each signal of this name, such as HUP.
     *
     * @return false if the signal was ignored as the process was started: the JVM keeps it so
     * @throws IllegalStateException if this JVM does not hand the signal over
     */
    static boolean handle(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            Object handler =
                    Proxy.newProxyInstance(
                            SignalHandlers.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            invocations(name, action));
            Object previous =
                    signalType
                            .getMethod("handle", signalType, handlerType)
                            .invoke(null, signal, handler);
            return !handlerType.getField("SIG_IGN").get(null).equals(previous);
        } catch (InvocationTargetException e) {
            throw unavailable(name, e.getCause());
        } catch (ReflectiveOperationException e) {
            throw unavailable(name, e);
        }
    }

    private static IllegalStateException unavailable(String name, Throwable cause) {
        return new IllegalStateException("SIG" + name + " can't be taken: " + cause, cause);
    }

    private static InvocationHandler invocations(String name, Runnable action) {
        return (self, method, arguments) ->
                switch (method.getName()) {
                    case "handle" -> {
                        action.run();
                        yield null;
                    }
                    case "equals" -> self == arguments[0];
                    case "hashCode" -> System.identityHashCode(self);
                    default -> "handler of " + name;
                };
    }
}
