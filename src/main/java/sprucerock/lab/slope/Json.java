package sprucerock.lab.slope;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Collection;

/**
 * Texts into records, strictly: a field that is missing, unknown, doubled or of another kind is an
 * error and never a zero, as a zero would go into a fit unseen. One format after another is not
 * read past: a writer that changes its fields changes "format" too.
 */
final class Json {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(
              DeserializationFeature.FAIL_ON_TRAILING_TOKENS,
              DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
              DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
              DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .build();

  private Json() {}

  static <T> T read(String text, TypeReference<T> kind) throws BadTextException {
    try {
      T read = MAPPER.readValue(text, kind);
      if (read == null) {
        throw new BadTextException("line 1: holds null; mend it or leave the file out");
      }
      return read;
    } catch (JsonProcessingException e) {
      throw new BadTextException(where(e) + what(e) + "; mend it or leave the file out");
    }
  }

  private static String where(JsonProcessingException e) {
    JsonLocation at = e.getLocation();
    StringBuilder where =
        new StringBuilder("line " + (at == null ? 1 : Math.max(1, at.getLineNr())));
    if (e instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
      where.append(", ");
      boolean first = true;
      for (JsonMappingException.Reference step : mapping.getPath()) {
        if (step.getFieldName() == null) {
          where.append('[').append(step.getIndex()).append(']');
        } else {
          where.append(first ? "" : ".").append(step.getFieldName());
        }
        first = false;
      }
    }
    return where + ": ";
  }

  private static String what(JsonProcessingException e) {
    if (e instanceof UnrecognizedPropertyException) {
      return "this field is not known in this format";
    }
    if (e instanceof ValueInstantiationException && e.getCause() != null) {
      String message = e.getCause().getMessage();
      return message != null && e.getCause() instanceof IllegalArgumentException
          ? message
          : "a value is null";
    }
    if (e instanceof MismatchedInputException mismatch) {
      // no property of its own says so, and a test holds the words of the library to this
      if (e.getOriginalMessage().startsWith("Missing creator property")) {
        return "this field is missing";
      }
      if (!e.getOriginalMessage().startsWith("No content")
          && !e.getOriginalMessage().startsWith("Trailing token")) {
        return "must be " + kind(mismatch.getTargetType());
      }
    }
    return e.getOriginalMessage().lines().findFirst().orElse("it is no JSON").strip();
  }

  private static String kind(Class<?> type) {
    if (type == int.class || type == long.class || type == Integer.class || type == Long.class) {
      return "a whole number";
    }
    if (type == double.class || type == Double.class) {
      return "a number";
    }
    if (type == boolean.class || type == Boolean.class) {
      return "true or false";
    }
    if (type == String.class) {
      return "text";
    }
    return type != null && Collection.class.isAssignableFrom(type) ? "a list" : "an object";
  }
}
