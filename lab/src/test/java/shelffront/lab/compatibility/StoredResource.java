package shelffront.lab.compatibility;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Copies the data of version 0.2.0, so that no test modifies the committed files. */
public final class StoredResource {

  private StoredResource() {}

  /**
   * Copies a file of the resource directory "compatibility" into a directory and returns the copy.
   */
  public static Path copy(String name, Path directory) throws IOException {
    Path target = directory.resolve(name);
    Files.createDirectories(target.getParent());
    try (InputStream resource =
        StoredResource.class.getResourceAsStream("/compatibility/" + name)) {
      if (resource == null) {
        throw new IOException("no resource compatibility/" + name);
      }
      Files.copy(resource, target);
    }
    return target;
  }
}
