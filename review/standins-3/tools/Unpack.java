import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;

/** Unpacks the one program, a zip file behind a line of shell, so that javac can read its classes. */
final class Unpack {
  public static void main(String[] arguments) throws IOException {
    Path target = Path.of(arguments[1]);
    try (ZipFile zip = new ZipFile(arguments[0])) {
      for (ZipEntry entry : (Iterable<ZipEntry>) zip.stream().map(ZipEntry.class::cast)::iterator) {
        Path file = target.resolve(entry.getName()).normalize();
        if (entry.isDirectory() || !file.startsWith(target)) {
          continue;
        }
        Files.createDirectories(file.getParent());
        try (InputStream in = zip.getInputStream(entry)) {
          Files.write(file, in.readAllBytes());
        }
      }
    }
  }
}
