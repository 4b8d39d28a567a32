package shelffront.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The size that the module must keep, as new staff read it in their first days. */
class SourceTest {

    @Test
    void theModuleStaysReadable() throws IOException {
        long filled = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("src/main/java/shelffront/decide"))) {
            for (Path file : files) {
                List<String> lines = Files.readAllLines(file);
                filled += lines.stream().filter(l -> !l.isBlank()).count();
                for (int i = 0; i < lines.size(); i++) {
                    assertTrue(lines.get(i).length() <= 110, file + ": line " + (i + 1) + " is too long");
                }
            }
        }
        assertTrue(filled > 0 && filled <= 930, filled + " lines that are not blank");
    }
}
