"""Steps that compare the packages of the deploy file with what its build command and the built libraries need.

The check reads the build command word by word, so a command that it does not know is a finding and never passes
unseen. What a library links to is asked of `ldd`, over the libraries that the command really installs.
"""

import ast
import functools
import os
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'
INSTALL_LIMIT_S = 300

SHELL_PACKAGE = 'dash'  # the build command is handed to `sh`
PROGRAM_PACKAGES = {'[': SHELL_PACKAGE, 'python3': 'python3'}
MODULE_PACKAGES = {'pip': 'python3-pip'}  # what `python3 -m` runs
TLS_PACKAGE = 'ca-certificates'  # pip fetches over TLS
COMPILER_PACKAGES = ('gcc', 'libc6-dev', 'python3-dev', 'rustc', 'cargo')  # where pip may build from source
LIBRARY_PACKAGES = {
    'libc.so.6': 'libc6',
    'libm.so.6': 'libc6',
    'libpthread.so.0': 'libc6',
    'libdl.so.2': 'libc6',
    'librt.so.1': 'libc6',
    'ld-linux-x86-64.so.2': 'libc6',
    'ld-linux-aarch64.so.1': 'libc6',
    'libgcc_s.so.1': 'libgcc-s1',
    'libsqlite3.so.0': 'libsqlite3-0',
}
KERNEL_LIBRARIES = {'linux-vdso.so.1', 'linux-gate.so.1'}
# Modules of Python's own library that are bindings to a system library which the program relies on by name.
BINDING_PACKAGES = {
    'sqlite3': 'libsqlite3-0',
    'curses': 'libncursesw6',
    'readline': 'libreadline8',
    'lzma': 'liblzma5',
}
BUILT_MODULES = {'cbor2', 'immutables', 'logbook', 'tornado', 'zope'}
ASSIGNMENT = re.compile(r'[A-Z]+=.*')
PLAIN_REQUIREMENT = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*\s*([<>=!~]=?[^;@]*)?')


@dataclass(frozen=True)
class Link:
    """One library that a built file links to, and whether the loader finds it."""

    library: str
    found: bool


@dataclass(frozen=True)
class Build:
    """What decides which packages are needed."""

    packages: tuple[str, ...]
    command: str
    requirements: tuple[str, ...]
    links: tuple[Link, ...]
    imports: frozenset[str]


@dataclass
class Needs:
    """The packages that a build needs, and what the check could not place."""

    packages: set[str] = field(default_factory=set)
    findings: list[str] = field(default_factory=list)


def commands_of(text: str) -> list[list[str]]:
    """The simple commands of a shell line that joins them with `||`, `&&` or `;`."""
    lexer = shlex.shlex(text, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    commands: list[list[str]] = [[]]
    for word in lexer:
        if set(word) <= set('();<>|&'):
            commands.append([])
        else:
            commands[-1].append(word)
    return [words for words in commands if words]


def without_assignments(words: list[str]) -> list[str]:
    """A command without the variables that are set for it alone.

    >>> without_assignments(['A=b', 'python3', 'c=d'])
    ['python3', 'c=d']
    """
    first = next(at for at, word in enumerate(words) if not ASSIGNMENT.fullmatch(word))
    return words[first:]


def pip_arguments(command: str) -> list[str]:
    """The arguments of the `pip install` that the build command runs."""
    for words in commands_of(command):
        if words[1:4] == ['-m', 'pip', 'install']:
            return words[4:]
    raise AssertionError(f'the build command runs no pip install: {command}')


def needs_of_command(command: str, needs: Needs) -> None:
    """The shell, the programs and the Python modules that the build command calls."""
    needs.packages.add(SHELL_PACKAGE)
    for words in map(without_assignments, commands_of(command)):
        program = words[0]
        if program not in PROGRAM_PACKAGES:
            needs.findings.append(f'no package is known for the program {program}')
            continue
        needs.packages.add(PROGRAM_PACKAGES[program])
        if program == 'python3':
            needs_of_module(words, needs)


def needs_of_module(words: list[str], needs: Needs) -> None:
    """What `python3 -m MODULE ...` needs beyond Python; a text given with `-c` may import what is built alone."""
    if words[1:3] == ['-S', '-c']:
        names = {name.partition('.')[0] for name in imported_names(words[3])}
        needs.findings += [f'no library is known for {name}' for name in sorted(names - BUILT_MODULES)]
        return
    module = words[2] if words[1:2] == ['-m'] else None
    if module not in MODULE_PACKAGES:
        needs.findings.append(f'no package is known for the Python module {module}')
        return
    needs.packages.add(MODULE_PACKAGES[module])
    needs.packages.add(TLS_PACKAGE)
    only_binary = any(words[at : at + 2] == ['--only-binary', ':all:'] for at in range(len(words)))
    if not only_binary:
        needs.packages.update(COMPILER_PACKAGES)


def imported_names(code: str) -> list[str]:
    """The modules that a text of Python imports.

    >>> imported_names('import a, b.c')
    ['a', 'b.c']
    """
    return [a.name for node in ast.walk(ast.parse(code)) if isinstance(node, ast.Import) for a in node.names]


def needs_of(build: Build) -> Needs:
    """Everything that a clean build and the built program need."""
    needs = Needs()
    needs_of_command(build.command, needs)
    for line in build.requirements:
        if not PLAIN_REQUIREMENT.fullmatch(line):
            needs.findings.append(f'not a plain requirement: {line}')
    for link in build.links:
        if not link.found:
            needs.findings.append(f'{link.library} is not found')
        elif link.library in LIBRARY_PACKAGES:
            needs.packages.add(LIBRARY_PACKAGES[link.library])
        else:
            needs.findings.append(f'no package is known for {link.library}')
    needs.packages.update(BINDING_PACKAGES[name] for name in build.imports if name in BINDING_PACKAGES)
    return needs


def findings_of(build: Build) -> list[str]:
    """What is wrong with the list of packages; nothing if it is exact."""
    needs = needs_of(build)
    listed = set(build.packages)
    missing = [f'missing: {name}' for name in sorted(needs.packages - listed)]
    surplus = [f'not needed: {name}' for name in sorted(listed - needs.packages)]
    return [*needs.findings, *missing, *surplus]


def links_of(file: Path) -> list[Link]:
    """What `ldd` says that a shared library links to."""
    said = subprocess.run(['ldd', str(file)], capture_output=True, text=True, check=True, timeout=60).stdout
    links = []
    for line in (raw.strip() for raw in said.splitlines()):
        if line == 'statically linked':
            continue
        library = Path(line.split()[0]).name
        if library not in KERNEL_LIBRARIES:
            links.append(Link(library, 'not found' not in line))
    return links


def imports_of(folders: Iterable[Path]) -> frozenset[str]:
    """The top-level modules that the program imports."""
    names = set()
    for file in (f for folder in folders for f in folder.rglob('*.py')):
        for node in ast.walk(ast.parse(file.read_text(encoding='utf-8'))):
            if isinstance(node, ast.Import):
                names.update(alias.name.partition('.')[0] for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
                names.add(node.module.partition('.')[0])
    return frozenset(names)


def requirements_of(command: str) -> tuple[str, ...]:
    """The lines of the requirements file that the build command names."""
    arguments = pip_arguments(command)
    file = ROOT / arguments[arguments.index('-r') + 1]
    lines = (line.partition('#')[0].strip() for line in file.read_text(encoding='utf-8').splitlines())
    return tuple(line for line in lines if line)


def install(command: str, target: Path) -> None:
    """Install as the build command does, into another folder."""
    arguments = pip_arguments(command)
    arguments[arguments.index('--target') + 1] = str(target)
    subprocess.run(
        [sys.executable, '-m', 'pip', 'install', *arguments],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
        timeout=INSTALL_LIMIT_S,
    )


def is_built(target: Path, requirements: Path) -> bool:
    """Whether the build command would find its work done, which it tells by the times of the two."""
    return target.is_dir() and target.stat().st_mtime > requirements.stat().st_mtime


@functools.cache
def installation(command: str) -> tuple[Path, tempfile.TemporaryDirectory | None]:
    """The folder with the built libraries: the one that the build command left, else a fresh one."""
    arguments = pip_arguments(command)
    target = ROOT / arguments[arguments.index('--target') + 1]
    if is_built(target, ROOT / arguments[arguments.index('-r') + 1]):
        return target, None
    folder = tempfile.TemporaryDirectory()  # removed when this process ends
    install(command, Path(folder.name))
    return Path(folder.name), folder


@given('the libraries that the build command installs')
def read_build(context):
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding='utf-8'))
    target, _ = installation(deploy['build'])
    files = sorted(target.rglob('*.so*'))
    assert files, f'no shared library under {target}: the check would see nothing'
    links = {link for file in files for link in links_of(file)}
    context.build = Build(
        packages=tuple(deploy['packages']),
        command=deploy['build'],
        requirements=requirements_of(deploy['build']),
        links=tuple(sorted(links, key=lambda link: link.library)),
        imports=imports_of([ROOT / 'src', ROOT / 'platform']),
    )


@then('the listed packages are exactly those that the build and its libraries need')
def exact(context):
    findings = findings_of(context.build)
    assert not findings, findings
    assert len(set(context.build.packages)) == len(context.build.packages), context.build.packages


@when('{package} is taken off the list')
def take_off(context, package):
    assert package in context.build.packages, context.build.packages
    packages = tuple(name for name in context.build.packages if name != package)
    context.build = replace(context.build, packages=packages)


@then('the check names {package} as missing')
def named_missing(context, package):
    assert findings_of(context.build) == [f'missing: {package}'], findings_of(context.build)


@when('the build changes so: {change}')
def change_build(context, change):
    build = context.build
    changed = {
        'it may compile': lambda: replace(build, command=build.command.replace('--only-binary :all:', '')),
        'it calls another program': lambda: replace(build, command=f'{build.command} && make -C native'),
        'a library links to libcurl': lambda: replace(
            build, links=(*build.links, Link('libcurl.so.4', True))
        ),
        'a linked library is absent': lambda: replace(
            build, links=(*build.links, Link('libgcc_s.so.1', False))
        ),
        'a requirement is a file': lambda: replace(
            build, requirements=(*build.requirements, './local-library')
        ),
    }
    context.build = changed[change]()
    assert context.build != build


@then('the check says "{finding}"')
def check_says(context, finding):
    assert finding in findings_of(context.build), findings_of(context.build)


# ---- a build folder that was made elsewhere

FOREIGN_LIBRARY = 'cbor2'  # written in Rust, without a form in Python
FOLDER_AGE_S = 60  # the requirements are older than the folder


@given('a checkout whose build folder has {libraries} and is newer than the requirements')
def stale_checkout(context, libraries):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.checkout = Path(folder.name)
    shutil.copytree(DEPLOY_FILE.parent, context.checkout / 'deploy')
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding='utf-8'))
    built, _ = installation(deploy['build'])
    context.target = context.checkout / 'target' / 'deps'
    shutil.copytree(built, context.target)
    if libraries == 'some of the libraries':
        shutil.rmtree(context.target / FOREIGN_LIBRARY)
    else:
        for file in (context.target / FOREIGN_LIBRARY).glob('*.so'):
            file.write_bytes(b'made for another processor')
    before = time.time() - FOLDER_AGE_S
    os.utime(context.checkout / 'deploy' / 'requirements.txt', (before, before))
    assert not imports_all(context.target)


@when('the build command of the deploy file runs there')
def run_build(context):
    command = tomllib.loads(DEPLOY_FILE.read_text(encoding='utf-8'))['build']
    subprocess.run(['sh', '-c', command], cwd=context.checkout, check=True, timeout=INSTALL_LIMIT_S)


def imports_all(target: Path) -> bool:
    """Whether all libraries can be imported from a build folder alone."""
    code = f'import {", ".join(sorted(BUILT_MODULES))}'
    environment = {**os.environ, 'PYTHONPATH': str(target)}
    run = subprocess.run([sys.executable, '-S', '-c', code], env=environment, capture_output=True)
    return run.returncode == 0


@then('all libraries can be imported from the build folder')
def libraries_imported(context):
    assert imports_all(context.target)
