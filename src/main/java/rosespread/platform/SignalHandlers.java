package rosespread.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The JDK offers only sun.misc.Signal for that, and the
 * compiler warns wherever the class is named. Reflection avoids these warnings, so that the build
 * can treat all warnings as errors.
 */
final class SignalHandlers {
    /** Registers handlers, as {@link SignalHandlers#handle} does. */
    @FunctionalInterface
    interface Registrar {
        /** Registers an action for a signal; returns false if the process ignores the signal. */
        boolean handle(String signal, Runnable action);
    }

    private SignalHandlers() {}

    /**
     * Runs the action on a separate thread at each signal of this name, such as HUP.
     *
     * @return false if the signal was ignored when the process was started: the JVM keeps ignoring
     *     it
     * @throws IllegalStateException if this JVM does not allow a handler for the signal
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
                            signalHandler(name, action));
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
        return new IllegalStateException(
                "handler for SIG" + name + " can't be registered: " + cause, cause);
    }

    private static InvocationHandler signalHandler(String name, Runnable action) {
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
