package slateseam.simulate.scenario;

import java.util.List;

/** A scenario file cannot be used. */
public final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /** Creates it with all that is wrong, one line each. */
    public InvalidScenarioException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** All that is wrong, one line each in the form {@code FILE:LINE: fault}, in the order of the lines. */
    public List<String> faults() {
        return faults;
    }
}
