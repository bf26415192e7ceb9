@together
Feature: The deploy file lists every Debian package that a clean build needs

  Scenario: a clean build needs the listed packages and no others
    Given the libraries that the build command installs
    Then the listed packages are exactly those that the build and its libraries need

  Scenario Outline: a list without <package> is found to be short
    Given the libraries that the build command installs
    When <package> is taken off the list
    Then the check names <package> as missing

    Examples:
      | package         |
      | ca-certificates |
      | dash            |
      | libc6           |
      | libgcc-s1       |
      | libsqlite3-0    |
      | python3         |
      | python3-pip     |

  # Guards against processes that end at their start because the libraries were built elsewhere or in part.
  Scenario Outline: a build folder with <libraries> is built again
    Given a checkout whose build folder has <libraries> and is newer than the requirements
    When the build command of the deploy file runs there
    Then all libraries can be imported from the build folder

    Examples:
      | libraries                                     |
      | a library of another kind of machine          |
      | some of the libraries                         |

  Scenario Outline: a build that needs more is found: <change>
    Given the libraries that the build command installs
    When the build changes so: <change>
    Then the check says "<finding>"

    Examples:
      | change                     | finding                                   |
      | it may compile             | missing: gcc                              |
      | it calls another program   | no package is known for the program make  |
      | a library links to libcurl | no package is known for libcurl.so.4      |
      | a linked library is absent | libgcc_s.so.1 is not found                |
      | a requirement is a file    | not a plain requirement: ./local-library  |
