package slateseam.simulate.scenario;

import java.util.Locale;
import java.util.stream.Collectors;

/** The tables of the operators' page, from the same schema that files are checked by; its main prints them. */
final class ScenarioPage {
    private ScenarioPage() {}

    static String row(Name name) {
        String form = switch (name.form()) {
            case FIGURE -> name.limits();
            case FIXED -> "one number, " + name.limits();
            case CHOICE -> String.join(" \\| ", name.words());
            case NAMES -> "names";
        };
        String usual = name.usual() == null
                ? "must be written"
                : name.usual().isEmpty() ? "-" : name.usual().replace("|", "\\|");
        return "| `" + name.word() + "` | " + form + " | " + usual + " | " + name.meaning() + " |";
    }

    static String row(FaultKind kind) {
        Name size = Schema.of(kind).find("size");
        return "| `" + kind.word() + "` | " + kind.targets().name().toLowerCase(Locale.ROOT) + " | "
                + (kind.lasts() ? "yes" : "at once") + " | " + (size == null ? "-" : size.limits()) + " |";
    }

    public static void main(String[] args) {
        for (Schema.Type type : Schema.all()) {
            System.out.println("### `[" + type.type() + (type.often() == Schema.Often.NAMED ? " NAME" : "") + "]`: "
                    + type.meaning() + "\n\n| name | values | usual | meaning |\n| --- | --- | --- | --- |");
            System.out.println(type.names().stream().map(ScenarioPage::row).collect(Collectors.joining("\n")) + "\n");
        }
        for (FaultKind kind : FaultKind.values()) {
            System.out.println(row(kind));
        }
    }
}
