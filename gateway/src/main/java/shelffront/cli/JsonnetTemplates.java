package shelffront.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;
import sjsonnet.DefaultParseCache;
import sjsonnet.SjsonnetMain;

/** Evaluates Jsonnet templates with sjsonnet. Plain JSON files are valid templates. */
public final class JsonnetTemplates {

  private JsonnetTemplates() {}

  /**
   * Evaluates a template file. Imports are resolved relative to the directory of the file.
   *
   * @throws IOException if the file cannot be read
   * @throws SpecException if the evaluation fails; the message names the file and line
   */
  public static JsonNode evaluate(Path file) throws IOException, SpecException {
    if (!Files.isReadable(file)) {
      throw new IOException("file does not exist or is not readable");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    Path absoluteFile = file.toAbsolutePath();
    int code =
        SjsonnetMain.main0(
            new String[] {absoluteFile.toString()},
            new DefaultParseCache(),
            new ByteArrayInputStream(new byte[0]),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8),
            new os.Path(absoluteFile.getParent()),
            SjsonnetMain.main0$default$7(),
            SjsonnetMain.main0$default$8(),
            SjsonnetMain.main0$default$9());
    if (code != 0) {
      throw new SpecException(
          "",
          "cannot evaluate the Jsonnet template: "
              + err.toString(UTF_8).strip().replaceAll("\\s+", " "));
    }
    return TenantSpecCodec.parse(out.toByteArray());
  }
}
