package sprucerock.compat;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Protocol buffer messages whose every field has a value other than its default, by the numbers of
 * the fields alone.
 */
public final class FilledMessages {
  private static final int ENTRIES = 2;
  private static final int ENTRY_STEP = 1000;

  private FilledMessages() {}

  /**
   * Sets every field, and those of nested messages; {@code base} makes the values of two messages
   * differ.
   */
  static Message filled(Message type, int base) {
    Message.Builder builder = type.newBuilderForType();
    for (FieldDescriptor field : type.getDescriptorForType().getFields()) {
      if (!field.isRepeated()) {
        builder.setField(field, value(builder, field, base));
        continue;
      }
      for (int entry = 1; entry <= ENTRIES; entry++) {
        builder.addRepeatedField(field, value(builder, field, base + entry * ENTRY_STEP));
      }
    }
    return builder.build();
  }

  private static Object value(Message.Builder builder, FieldDescriptor field, int base) {
    int number = base + field.getNumber();
    return switch (field.getJavaType()) {
      case INT -> number;
      case LONG -> (long) number << 33 | number; // needs more than 32 bits
      case FLOAT -> number + 0.5f;
      case DOUBLE -> number + 0.25;
      case BOOLEAN -> true;
      case STRING -> "text " + number;
      case BYTE_STRING -> ByteString.copyFromUtf8("bytes " + number);
      case ENUM -> last(field.getEnumType());
      case MESSAGE -> filled(builder.newBuilderForField(field).build(), number * 10);
    };
  }

  private static Object last(EnumDescriptor type) {
    return type.getValues().get(type.getValues().size() - 1);
  }

  /**
   * What a decoded message lacks: fields without a value, and bytes that no field of it stands for.
   */
  static List<String> missing(Message message) {
    List<String> found = new ArrayList<>();
    missing(message, "", found);
    return found;
  }

  private static void missing(Message message, String path, List<String> found) {
    if (!message.getUnknownFields().asMap().isEmpty()) {
      found.add(path + "unknown " + message.getUnknownFields().asMap().keySet());
    }
    for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
      String name = path + field.getNumber();
      boolean set =
          field.isRepeated()
              ? message.getRepeatedFieldCount(field) == ENTRIES
              : message.getAllFields().containsKey(field);
      if (!set) {
        found.add(name);
      } else if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
        nested(message, field, name, found);
      }
    }
  }

  private static void nested(
      Message message, FieldDescriptor field, String name, List<String> found) {
    if (!field.isRepeated()) {
      missing((Message) message.getField(field), name + ".", found);
      return;
    }
    for (int i = 0; i < ENTRIES; i++) {
      missing((Message) message.getRepeatedField(field, i), name + "[" + i + "].", found);
    }
  }

  /** One line for each enumeration below a message: the field's number, and the values. */
  static List<String> enumerations(Descriptor type, String path) {
    List<String> lines = new ArrayList<>();
    for (FieldDescriptor field : type.getFields()) {
      String name = path + field.getNumber();
      if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
        lines.addAll(enumerations(field.getMessageType(), name + "."));
      }
      if (field.getJavaType() != FieldDescriptor.JavaType.ENUM) {
        continue;
      }
      lines.add(
          name
              + field.getEnumType().getValues().stream()
                  .map(value -> " " + value.getNumber() + "=" + value.getName())
                  .collect(Collectors.joining()));
    }
    return lines;
  }

  /**
   * The fields, by their numbers from the outermost message inwards, that none of some messages of
   * one type has a value in.
   */
  public static List<String> neverSet(Descriptor type, List<? extends Message> messages) {
    return neverSet(type, messages, "");
  }

  private static List<String> neverSet(
      Descriptor type, List<? extends Message> messages, String path) {
    List<String> found = new ArrayList<>();
    for (FieldDescriptor field : type.getFields()) {
      String name = path + field.getNumber();
      List<Message> having =
          messages.stream()
              .map(Message.class::cast)
              .filter(message -> message.getAllFields().containsKey(field))
              .toList();
      if (having.isEmpty()) {
        found.add(name);
      } else if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
        found.addAll(neverSet(field.getMessageType(), nested(field, having), name + "."));
      }
    }
    return found;
  }

  private static List<Message> nested(FieldDescriptor field, List<Message> having) {
    List<Message> found = new ArrayList<>();
    for (Message message : having) {
      if (!field.isRepeated()) {
        found.add((Message) message.getField(field));
      }
      for (int i = 0; field.isRepeated() && i < message.getRepeatedFieldCount(field); i++) {
        found.add((Message) message.getRepeatedField(field, i));
      }
    }
    return found;
  }
}
