package slateseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Keeps the packages apart: what one may use is told in its package-info. */
class PackagesTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private final JavaClasses classes = new ClassFileImporter().importPath(Path.of("target/classes"));

    @Test
    void noTwoPackagesNeedEachOther() {
        slices().matching("slateseam.(**)").should().beFreeOfCycles().check(classes);
    }

    @Test
    void theDecisionModuleKnowsNothingElse() {
        noClasses()
                .that()
                .resideInAPackage("slateseam.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("slateseam.router..", "java.net..", "java.nio.channels..", "java.io..")
                .check(classes);
    }

    @Test
    void whatTheTierDecidesKnowsNothingElse() {
        noClasses()
                .that()
                .resideInAPackage("slateseam.tier..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "slateseam.router..", "slateseam.decision..", "java.nio.channels..", "java.io..", "java.time..")
                .check(classes);
    }

    /** A router starts fast and small: whatever else the jar holds must not come along. */
    @Test
    void aRouterReachesNoToolsPackage() {
        noClasses()
                .that()
                .resideInAPackage("slateseam.router..")
                .should()
                .dependOnClassesThat(new DescribedPredicate<>("belong to a tool") {
                    @Override
                    public boolean test(JavaClass type) {
                        String name = type.getPackageName();
                        return name.startsWith("slateseam")
                                && !name.startsWith("slateseam.router")
                                && !name.equals("slateseam.decision")
                                && !name.startsWith("slateseam.tier");
                    }
                })
                .check(classes);
    }

    @Test
    void everyPackageSaysWhatItIsFor() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> silent = files.filter(file -> file.toString().endsWith(".java"))
                    .map(Path::getParent)
                    .distinct()
                    .filter(folder -> !Files.exists(folder.resolve("package-info.java")))
                    .toList();
            assertThat(silent).isEmpty();
        }
    }
}
